"""AMQP 0-9-1: a front for publishers, and next hops that are message brokers."""
