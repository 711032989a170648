package org.redwingramp.bench.slopes;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

import com.sun.management.OperatingSystemMXBean;

import org.redwingramp.wire.CallNotExecutedException;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.LocalPeer;
import org.redwingramp.wire.OutcomeUnknownException;
import org.redwingramp.wire.Peer;
import org.redwingramp.wire.PeerHandler;
import org.redwingramp.wire.PeerLinks;
import org.redwingramp.wire.PeerServer;
import org.redwingramp.wire.ServerSettings;
import org.redwingramp.wire.SharedKey;
import org.redwingramp.wire.WireListener;

/**
 * Measures the CPU time of a call between two daemons, including both ends and the
 * loopback interface. Not thread safe.
 */
public final class TransportSlopes {

	/** Many calls, since the CPU time of a process is counted in steps of 10 ms. */
	private static final int CALLS = 20_000;

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final byte[] EMPTY_PAYLOAD = {};

	private static final SharedKey KEY = SharedKey.of(new byte[SharedKey.MIN_BYTES]);

	/**
	 * Measures the CPU time of calls.
	 * @return the slopes
	 * @throws IOException if the loopback port can't be opened
	 * @throws CallNotExecutedException if a call wasn't sent
	 * @throws OutcomeUnknownException if a call received no reply
	 */
	public List<Slope> all() throws IOException, CallNotExecutedException, OutcomeUnknownException {
		int[] sizes = { 256, 2_048, 16_384 };
		double[] cpuMicros = new double[sizes.length];
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		try (PeerServer server = PeerServer.open(any, localPeer("control"), new EmptyReplyHandler(),
				ServerSettings.DEFAULT, WireListener.NONE);
				PeerLinks links = PeerLinks.open(localPeer("entry"), LinkSettings.DEFAULT, WireListener.NONE)) {
			String address = server.address().getAddress().getHostAddress() + ":" + server.address().getPort();
			for (int i = 0; i < sizes.length; i++) {
				cpuMicrosPerCall(links, address, new byte[sizes[i]]);
				cpuMicros[i] = cpuMicrosPerCall(links, address, new byte[sizes[i]]);
			}
		}
		return List.of(Slope.of("transport.cpu of a call, both ends", "payload byte", "us", sizes, cpuMicros));
	}

	private static LocalPeer localPeer(String name) {
		return new LocalPeer(name, 1, () -> "", KEY);
	}

	private static double cpuMicrosPerCall(PeerLinks links, String address, byte[] payload)
			throws CallNotExecutedException, OutcomeUnknownException {
		OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		long start = system.getProcessCpuTime();
		for (int i = 0; i < CALLS; i++) {
			links.call(address, Kind.HEARTBEAT, payload, TIMEOUT);
		}
		return (system.getProcessCpuTime() - start) / 1000.0 / CALLS;
	}

	/**
	 * Replies to each call with an empty payload. Thread safe.
	 */
	private static final class EmptyReplyHandler implements PeerHandler {

		@Override
		public void messageReceived(Peer sender, Kind kind, byte[] payload) {
			// One-way messages aren't measured.
		}

		@Override
		public byte[] handleCall(Peer sender, Kind kind, byte[] payload, long deadline) {
			return EMPTY_PAYLOAD;
		}

	}

}
