package org.redwingramp.core.support;

import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assumptions.assumeThat;

class ReservedPortsTests {

	private static final Path GIVEN_PORTS = Path.of("/proc/sys/net/ipv4/ip_local_port_range");

	private final List<ReservedPorts> reserved = new ArrayList<>();

	@AfterEach
	void release() throws Exception {
		for (ReservedPorts ports : this.reserved) {
			ports.close();
		}
	}

	/** Guards against tests beside each other that listen on the same ports. */
	@Test
	void shouldReserveDifferentPortsForEachTest() throws Exception {
		for (int i = 0; i < 100; i++) {
			reserve();
		}
		assertThat(this.reserved.stream().flatMap(ReservedPortsTests::ports)).hasSize(100 * ReservedPorts.COUNT)
			.doesNotHaveDuplicates();
	}

	/** Guards against a port that another process gets between two uses of it. */
	@Test
	void shouldReserveNoPortThatTheOperatingSystemGivesToOthers() throws Exception {
		assumeThat(GIVEN_PORTS).exists();
		int firstGiven = firstGivenPort();
		for (int i = 0; i < 100; i++) {
			assertThat(ports(reserve())).allMatch((port) -> port < firstGiven);
		}
	}

	/** Guards against ports on which a process listens that doesn't reserve its own. */
	@Test
	void shouldReserveNoPortOnWhichAnotherListens() throws Exception {
		ReservedPorts ports = reserve();
		try (ServerSocket other = new ServerSocket(ports.port(0), 1, InetAddress.getByName("127.0.0.11"))) {
			ports.close();
			for (int i = 0; i < 300; i++) {
				assertThat(ports(reserve())).doesNotContain(other.getLocalPort());
			}
		}
	}

	/** Guards against a reservation that takes the ports from the test that has it. */
	@Test
	void shouldLeaveThePortsToBeBound() throws Exception {
		ReservedPorts ports = reserve();
		for (int i = 0; i < ReservedPorts.COUNT; i++) {
			try (ServerSocket first = new ServerSocket(ports.port(i), 1, InetAddress.getByName("127.0.0.11"));
					ServerSocket second = new ServerSocket(ports.port(i), 1, InetAddress.getLoopbackAddress())) {
				assertThat(first.getLocalPort()).isEqualTo(second.getLocalPort());
			}
		}
		assertThatExceptionOfType(IndexOutOfBoundsException.class).isThrownBy(() -> ports.port(ReservedPorts.COUNT));
	}

	// The file can only be read at once, which Files.readString doesn't do.
	private static int firstGivenPort() throws Exception {
		try (BufferedReader reader = Files.newBufferedReader(GIVEN_PORTS)) {
			return Integer.parseInt(reader.readLine().split("\\s+")[0]);
		}
	}

	private ReservedPorts reserve() throws Exception {
		ReservedPorts ports = ReservedPorts.reserve();
		this.reserved.add(ports);
		return ports;
	}

	private static Stream<Integer> ports(ReservedPorts ports) {
		return IntStream.range(0, ReservedPorts.COUNT).mapToObj(ports::port);
	}

}
