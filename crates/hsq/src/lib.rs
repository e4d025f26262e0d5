//! The array of counts of HSQ, shared by every part that chooses a server.
