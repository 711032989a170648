package org.redwingramp.node.entry;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.node.loop.TcpConnection;
import org.redwingramp.node.loop.TcpHandler;
import org.redwingramp.node.loop.Timer;

/**
 * Tells a crash of a target from a connection that broke for another reason: a target
 * that has crashed refuses a new connection. Not thread safe; confined to the event loop
 * thread.
 */
final class CrashDetector {

	/**
	 * Time after which a target that neither accepts nor refuses isn't probed further.
	 */
	private static final long PROBE_TIMEOUT_NANOS = 400_000_000L;

	/** Bounds the memory for the requests that broke while a target is probed. */
	private static final int MAX_REQUESTS = 64;

	private final EventLoop loop;

	private final Listener listener;

	// Each incarnation of a target has a probe of its own, since it may have another
	// address than the one before.
	private final Map<EntryTarget, Probe> probes = new HashMap<>();

	CrashDetector(EventLoop loop, Listener listener) {
		this.loop = loop;
		this.listener = listener;
	}

	// Finds out whether the target has crashed after a connection broke on which it had
	// received the request with this digest.
	void connectionBroken(EntryTarget target, String digest) {
		Probe probe = this.probes.get(target);
		if (probe == null) {
			probe = new Probe(target);
			this.probes.put(target, probe);
			probe.start(target.connections().address());
		}
		if (probe.digests.size() < MAX_REQUESTS) {
			probe.digests.add(digest);
		}
	}

	/**
	 * Is notified of crashes.
	 */
	interface Listener {

		// The target crashed while the requests with these digests were at it.
		void crashed(String target, Set<String> digests);

	}

	/** One attempt to connect to a target. */
	private final class Probe implements TcpHandler {

		private final EntryTarget target;

		private final Set<String> digests = new LinkedHashSet<>();

		private TcpConnection connection;

		private Timer timer;

		Probe(EntryTarget target) {
			this.target = target;
		}

		void start(InetSocketAddress address) {
			this.timer = CrashDetector.this.loop.schedule(PROBE_TIMEOUT_NANOS, this::end);
			this.connection = CrashDetector.this.loop.connect(address, (tcp) -> this);
		}

		private void end() {
			this.timer.cancel();
			this.connection.close();
			CrashDetector.this.probes.remove(this.target, this);
		}

		@Override
		public void connected() {
			end();
		}

		@Override
		public void received(ByteBuffer data) {
			end();
		}

		@Override
		public void endOfStream() {
			end();
		}

		@Override
		public void failed(Exception cause) {
			end();
			if (cause instanceof ConnectException) {
				CrashDetector.this.listener.crashed(this.target.name(), this.digests);
			}
		}

	}

}
