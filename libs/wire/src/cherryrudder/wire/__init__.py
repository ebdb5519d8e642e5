"""Transport between processes: HTTP, framed TCP links, logging and statsd."""
