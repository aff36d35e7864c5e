"""The loopback address of this test run, so that runs beside each other may use the same ports."""

import os

HOST = f"127.{os.getpid() // 62_500 % 100 + 100}.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
