package org.redwingramp.node.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

import org.redwingramp.core.dispatch.TargetTracker;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.support.ReservedPorts;
import org.redwingramp.node.http.BodyMemoryLimit;
import org.redwingramp.node.http.TargetConnections;
import org.redwingramp.node.loop.LoopExtension;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that are taken for the cause of a crash of another process. */
@Timeout(20)
class CrashDetectorTests {

	private final BlockingQueue<Set<String>> crashes = new LinkedBlockingQueue<>();

	@RegisterExtension
	final LoopExtension loops = new LoopExtension();

	private CrashDetector detector;

	@BeforeEach
	void createDetector() {
		this.detector = new CrashDetector(this.loops.loop(), (target, digests) -> this.crashes.add(digests));
	}

	/**
	 * Guards against a request to the present process under a name that counts towards
	 * the crash of the former one, at another address.
	 */
	@Test
	void shouldNotBlameARequestToTheNextIncarnationForTheCrashOfTheFormer() throws Exception {
		try (ServerSocket running = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				ReservedPorts unused = ReservedPorts.reserve()) {
			EntryTarget former = target(1, unused.port(0));
			EntryTarget present = target(2, running.getLocalPort());
			this.loops.loop().post(() -> {
				this.detector.connectionBroken(former, "deadly");
				this.detector.connectionBroken(present, "innocent");
			});
			assertThat(this.crashes.poll(5, TimeUnit.SECONDS)).containsExactly("deadly");
		}
	}

	private EntryTarget target(long born, int port) {
		ViewTarget view = new ViewTarget("t-0", "s", "127.0.0.1:" + port, "d", 3, true, 0, born, false);
		return new EntryTarget(view,
				new TargetConnections(this.loops.loop(), new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
						BodyMemoryLimit.forTargetResponses()),
				new TargetTracker(3, 100, System.nanoTime()), System.nanoTime());
	}

}
