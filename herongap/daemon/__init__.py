"""The daemon: gevent sockets that only carry between the protocols and the hosted controller."""
