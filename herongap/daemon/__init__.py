"""The daemon: gevent sockets and files around the hosted controller. It does I/O only and decides nothing."""
