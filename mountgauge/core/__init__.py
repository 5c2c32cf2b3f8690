"""The core of a sender. It is independent of wire protocols and sockets."""
