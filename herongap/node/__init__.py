"""The platform's controller: gevent sockets that connect the platform's protocol with the host."""
