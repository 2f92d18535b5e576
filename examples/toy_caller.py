"""Places one call through a proxy and prints how it is answered and released.

``python -m examples.toy_caller [HOST:PORT]``
"""

from __future__ import annotations

import secrets
import socket
import sys

from canvasplank.codecs import isup
from canvasplank.config.addresses import parse_address

SET_UP = {
    isup.Parameter.CLASS: b"balance-check",
    isup.Parameter.WAIT: b"3000",
    isup.Parameter.NUMBER: b"7f3a9c21e0b4d655",
    isup.Parameter.FIGURES: b"dest:0;width:1;via:-1",
    isup.Parameter.DESCRIPTION: b"toy offer",
}


def main(proxy: str = "127.0.0.1:2905") -> None:
    """Place a call and read messages until the call is released."""
    call_id = secrets.token_hex(8)
    parser = isup.Parser()
    with socket.create_connection(parse_address(proxy), timeout=10) as stream:
        stream.sendall(isup.encode(isup.Message(isup.Kind.SET_UP, call_id, SET_UP)))
        while data := stream.recv(4096):
            for message in parser.feed(data):
                if message.kind == isup.Kind.ANSWER:
                    print("stands:", message.parameters[isup.Parameter.DESCRIPTION].decode(), flush=True)
                if message.kind == isup.Kind.RELEASE:
                    stream.sendall(isup.release_confirmed(call_id))
                    print("over, cause", message.cause, flush=True)
                    return


if __name__ == "__main__":
    main(*sys.argv[1:])
