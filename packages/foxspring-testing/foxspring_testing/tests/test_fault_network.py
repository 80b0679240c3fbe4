import os
import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from foxspring_testing._fault_network import ANY_PROCESS, Fault, FaultNetwork
from foxspring_testing._http_server import HttpReply, HttpRequest, HttpServer
from foxspring_testing._socket_owner import owners_of_ports

HEAD = b"GET / HTTP/1.1\r\nHost: t\r\n\r\n"
BODY = b"whole answer"
LOOKUP_S = 0.05
CONNECTIONS = 300


def serve(_: HttpRequest) -> HttpReply:
    return HttpReply(200, BODY)


class FaultNetworkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.server = HttpServer("127.0.0.1:0", serve)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.network = FaultNetwork(lambda ports: dict.fromkeys(ports, "client"))
        self.addCleanup(self.network.stop)
        self.proxy = self.network.add_proxy("server", self.server.address)

    def connect(self) -> socket.socket:
        host, _, port = self.proxy.partition(":")
        connection = socket.create_connection((host, int(port)), timeout=10)
        self.addCleanup(connection.close)
        return connection

    def request(self, connection: socket.socket, timeout: float = 10) -> bytes:
        """Return the answer, or the part received before a cut or a timeout."""
        connection.settimeout(timeout)
        answer = b""
        try:
            connection.sendall(HEAD)
            while not answer.endswith(BODY):
                chunk = connection.recv(4_096)
                if not chunk:
                    return answer
                answer += chunk
        except OSError:
            return answer
        return answer

    def test_connection_without_fault_forwards_everything(self) -> None:
        self.assertTrue(self.request(self.connect()).endswith(BODY))

    def test_answer_is_cut_after_the_given_bytes(self) -> None:
        self.network.set_fault("server", "client", Fault(cut_after=20))
        self.assertEqual(20, len(self.request(self.connect())))

    def test_dropping_affects_open_connections_only(self) -> None:
        for forward, back in ((True, False), (False, True), (True, True)):
            with self.subTest(forward=forward, back=back):
                open_connection = self.connect()
                self.assertTrue(self.request(open_connection).endswith(BODY))
                affected = self.network.drop_open_connections(
                    "client", "server", forward, back
                )
                self.assertGreaterEqual(affected, 1)
                self.assertEqual(b"", self.request(open_connection, timeout=0.3))
                self.assertTrue(self.request(self.connect()).endswith(BODY))

    def test_partition_holds_bytes_until_it_is_removed(self) -> None:
        connection = self.connect()
        self.request(connection)
        self.network.partition({"client"}, {"server"})
        self.assertEqual(b"", self.request(connection, timeout=0.3))
        self.network.clear_faults()
        connection.settimeout(10)
        self.assertTrue(connection.recv(4_096).endswith(BODY))

    def test_one_way_partition_blocks_answers(self) -> None:
        connection = self.connect()
        self.request(connection)
        self.network.partition({"server"}, {"client"}, both=False)
        self.assertEqual(b"", self.request(connection, timeout=0.3))

    def test_reset_breaks_open_connections(self) -> None:
        connection = self.connect()
        self.request(connection)
        self.assertEqual(1, self.network.reset(ANY_PROCESS, "server"))
        self.assertEqual(b"", self.request(connection))

    def test_owner_of_a_port_is_found_among_known_processes(self) -> None:
        connection = self.connect()
        port = connection.getsockname()[1]
        owners = owners_of_ports({port}, [("me", os.getpid())])
        self.assertEqual({port: "me"}, owners)
        self.assertEqual({}, owners_of_ports({port}, []))


class SourceLookupTest(unittest.TestCase):
    """Connections that arrive faster than their sources can be looked up."""

    def setUp(self) -> None:
        self.lookups = 0
        self.server = HttpServer("127.0.0.1:0", serve)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.network = FaultNetwork(self.find_owners)
        self.addCleanup(self.network.stop)
        address = self.network.add_proxy("server", self.server.address)
        host, _, port = address.partition(":")
        self.address = (host, int(port))

    def find_owners(self, ports: set[int]) -> dict[int, str]:
        self.lookups += 1
        time.sleep(LOOKUP_S)
        return dict.fromkeys(ports, "client")

    def lookups_while_answered(self) -> int:
        """Return how many lookups began while one connection was answered."""
        before = self.lookups
        with socket.create_connection(self.address, timeout=30) as connection:
            connection.sendall(HEAD)
            answer = b""
            while not answer.endswith(BODY):
                answer += connection.recv(4_096)
        return self.lookups - before

    def test_connection_does_not_wait_for_the_lookups_of_later_ones(self) -> None:
        self.network.set_fault("other", "server", Fault(held=True))
        with ThreadPoolExecutor(CONNECTIONS) as pool:
            answered = []
            for _ in range(CONNECTIONS):
                answered.append(pool.submit(self.lookups_while_answered))
                time.sleep(LOOKUP_S / 10)
            most = max(each.result() for each in answered)
        self.assertLess(most, 10)
