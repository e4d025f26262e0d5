"""A proxy that plays the link between the system's machines and one server, with cuts.

While the link is cut, no connection comes up, and bytes on connections that are up do not arrive. TCP sends such
bytes again when its retransmission timer expires: 0.2 s after they were sent first, then after twice the time each.
They arrive with the first retransmission after the link has healed, also if the sender has closed the connection
since. If it reset the connection, they are lost.
"""

import asyncio
import time

FIRST_RETRANSMISSION_S = 0.2


class Link:
    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.cut_from = self.cut_until = 0.0
        self.server = None
        self.held = []
        self.tasks = set()

    async def start(self):
        host, port = self.listen.rsplit(":", 1)
        self.server = await asyncio.start_server(self.accept, host, int(port), limit=1 << 20)

    def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()

    def is_cut(self, at):
        return self.cut_from <= at < self.cut_until

    async def cut(self, seconds):
        """Cuts the link; returns once it has healed."""
        self.cut_from = time.monotonic()
        self.cut_until = self.cut_from + seconds
        self.server.close()
        self.server = None
        await asyncio.sleep(seconds)
        await self.start()

    def arrival(self, sent_at):
        """When bytes arrive that were sent at `sent_at`."""
        at, pause = sent_at, FIRST_RETRANSMISSION_S
        while self.is_cut(at):
            at, pause = at + pause, pause * 2
        return at

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            host, port = self.target.rsplit(":", 1)
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(self.pump(reader, server_writer, True), self.pump(server_reader, writer, False))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def pump(self, reader, writer, to_server):
        try:
            while True:
                data = await reader.read(1 << 16)
                sent_at = time.monotonic()
                arrival = self.arrival(sent_at)
                if data and to_server and arrival > sent_at:
                    self.held.append((sent_at, arrival, data))
                await asyncio.sleep(max(0.0, arrival - time.monotonic()))
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            writer.transport.abort()
