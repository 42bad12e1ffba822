"""The platform's controller: gevent sockets that only carry between its protocol and the host."""
