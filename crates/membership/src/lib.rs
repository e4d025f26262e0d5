//! Who exists, and who monitors whom, by rendezvous hashing.
