"""A link to a worker that loses packets: forwards connections, and while it is down a filter of its
own sockets drops all segments with payload. Connections are still established, and the sender's
kernel repeats the bytes, also after their connection was closed or their process ended.

Arguments: own host, host and port of the worker. Lines on standard input: `down`, `up`. Lines on
standard output: the own port, then for each connection the port towards the worker and the sender's.
"""

import ctypes
import os
import selectors
import socket
import struct
import sys

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27

# Accepts a segment only if the length of the header is its whole length.
FILTER = [
    (0x30, 0, 0, 12),  # A = byte 12, the data offset
    (0x54, 0, 0, 0xF0),  # A &= 0xf0
    (0x74, 0, 0, 2),  # A >>= 2, the header length
    (0x07, 0, 0, 0),  # X = A
    (0x80, 0, 0, 0),  # A = length
    (0x1C, 0, 0, 0),  # A -= X
    (0x15, 0, 1, 0),  # A == 0?
    (0x06, 0, 0, 0xFFFFFFFF),
    (0x06, 0, 0, 0),
]
CODE = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *step) for step in FILTER))
PROGRAM = struct.pack("HL", len(FILTER), ctypes.addressof(CODE))


def set_down(sockets, is_down):
    for sock in sockets:
        if is_down:
            sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, PROGRAM)
        else:
            try:
                sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
            except OSError:
                pass  # accepted before the link went down


def main():
    own_host, worker_host, worker_port = sys.argv[1], sys.argv[2], int(sys.argv[3])
    listener = socket.create_server((own_host, 0), backlog=128)
    listener.setblocking(False)
    print(listener.getsockname()[1], flush=True)
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    selector.register(sys.stdin, selectors.EVENT_READ)
    peers = {}
    senders = set()

    def close(sock):
        for one in (sock, peers.pop(sock, None)):
            if one is not None:
                peers.pop(one, None)
                senders.discard(one)
                selector.unregister(one)
                one.close()

    def accept():
        sender, address = listener.accept()
        worker = socket.create_connection((worker_host, worker_port))
        print(worker.getsockname()[1], address[1], flush=True)
        senders.add(sender)
        peers[sender], peers[worker] = worker, sender
        for sock in (sender, worker):
            selector.register(sock, selectors.EVENT_READ)

    def forward(sock):
        try:
            data = sock.recv(65536)
            if data:
                peers[sock].sendall(data)
                return
        except OSError:
            pass
        close(sock)

    while True:
        for key, _ in selector.select():
            if key.fileobj is sys.stdin:
                command = os.read(sys.stdin.fileno(), 64).decode()
                if not command:
                    return
                set_down([listener, *senders], "down" in command)
            elif key.fileobj is listener:
                accept()
            elif key.fileobj in peers:
                forward(key.fileobj)


main()
