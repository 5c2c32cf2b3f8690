"""Tests of the watch of discovery, without sockets."""
