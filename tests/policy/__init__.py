"""Tests of the policy engine, which pass events to it directly, without sockets."""
