"""Tests of the transport layer over loopback sockets."""
