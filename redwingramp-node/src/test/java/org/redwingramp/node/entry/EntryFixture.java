package org.redwingramp.node.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.support.ReservedPorts;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.node.loop.LoopThread;

/**
 * Runs an entry instance on the loopback interface together with a simulated control
 * leader, which sends it the views and relayed calls that a test asks for. Not thread
 * safe.
 */
final class EntryFixture implements AutoCloseable {

	static final long REFUSED_DELAY_MILLIS = 130;

	static final long DRAIN_NANOS = 400_000_000L;

	/**
	 * Longer than the longest timeout of a route, so that a test sees the answer of the
	 * entry instance rather than this timeout.
	 */
	private static final int READ_TIMEOUT_MILLIS = (int) TestDialect.LONG_TIMEOUT_MILLIS + 5000;

	/**
	 * The number of 5 ms waits for a view to appear in the log. The log is written every
	 * 100 ms, and later than that on a busy machine.
	 */
	private static final int APPLY_ATTEMPTS = 2000;

	final ByteArrayOutputStream log = new ByteArrayOutputStream();

	private final EventLoop loop;

	private final EventWriter events;

	private final AtomicReference<Link> entryLink = new AtomicReference<>();

	private final BlockingQueue<GrantReply> relayReplies = new LinkedBlockingQueue<>();

	// What the entry instance reported to its leader.
	final BlockingQueue<Observation> observations = new LinkedBlockingQueue<>();

	private final ReservedPorts ports = ReservedPorts.reserve();

	private final int callerPort = this.ports.port(0);

	final int readinessPort = this.ports.port(1);

	// Whether any entry instance follows the simulated leader, as it says.
	volatile Optional<Boolean> followed = Optional.empty();

	// The last report of the entry instance.
	volatile LinkMessage.Report lastReport;

	// How the simulated leader answers questions for permits; it doesn't answer if empty.
	volatile Optional<Boolean> grantsPermits = Optional.empty();

	// When granted permits become usable.
	volatile long permitDelayMillis;

	// The rates for which the entry instance asked for permits.
	final BlockingQueue<Double> permitRates = new LinkedBlockingQueue<>();

	volatile int instances = 1;

	volatile long coldLeftMillis;

	volatile long born = 1;

	// The incarnations that the entry instance reported as leaving.
	final BlockingQueue<Owner> leaving = new LinkedBlockingQueue<>();

	private long sequence;

	private final EntryNode node;

	EntryFixture() throws Exception {
		this(1_000_000_000L);
	}

	EntryFixture(long graceNanos) throws Exception {
		this.loop = new EventLoop((failure) -> failure.printStackTrace());
		this.events = new EventWriter(this.log, "test");
		this.loop.listen(this.ports.address(2),
				(tcp) -> Link.accepted(tcp, this::received, (link) -> this.entryLink.compareAndSet(link, null)));
		EntrySettings settings = new EntrySettings("test", "d", this.ports.address(0), this.ports.address(1),
				this.ports.port(2), List.of("127.0.0.1"), 0.2, 50, graceNanos, DRAIN_NANOS);
		this.node = EntryNode.start(this.loop, settings, new TestDialect(), this.events);
		LoopThread.start(this.loop);
		while (this.entryLink.get() == null) {
			Thread.sleep(5);
		}
	}

	// Sends a full view with the targets t-0, t-1 and so on, and waits until it is
	// applied. The named target owns all keys; an empty name means that they are
	// being moved.
	void sendView(String owner, ScriptedTarget... targets) throws Exception {
		sendView(owner, Stream.of(targets).map(ScriptedTarget::address).toList());
	}

	void sendView(String owner, String address) throws Exception {
		sendView(owner, List.of(address));
	}

	void sendView(String owner, CrashingTarget target) throws Exception {
		sendView(owner, List.of(target.address()));
	}

	// Sends a view with the targets of the service that isn't sharded.
	void sendPlainView(ScriptedTarget... targets) throws Exception {
		sendView("p", "", Stream.of(targets).map(ScriptedTarget::address).toList());
	}

	private void sendView(String owner, List<String> addresses) throws Exception {
		sendView("s", owner, addresses);
	}

	private void sendView(String service, String owner, List<String> addresses) throws Exception {
		this.sequence++;
		List<ViewTarget> list = IntStream.range(0, addresses.size())
			.mapToObj((i) -> new ViewTarget("t-" + i, service, addresses.get(i), "d", 3, true, this.coldLeftMillis,
					this.born, false))
			.toList();
		FleetView view = new FleetView(1, this.sequence, 0, 1, this.instances, Optional.of(new byte[] { 1 }), list,
				List.of(), Map.of("s", List.of(new ViewRange(0, 65_535, owner))), List.of());
		send(view);
		awaitLogged("\"sequence\":" + this.sequence + ",");
	}

	// Sends a full view of a leader that knows no configuration, and waits until the
	// entry instance reports it as applied.
	void sendViewWithoutConfig() throws Exception {
		this.sequence++;
		send(new FleetView(1, this.sequence, 0, 0, this.instances, Optional.empty(), List.of(), List.of(), Map.of(),
				List.of()));
		awaitApplied(1, this.sequence);
	}

	// Sends a view on the present link.
	void send(FleetView view) throws Exception {
		CompletableFuture<Void> sent = new CompletableFuture<>();
		this.loop.post(() -> {
			this.entryLink.get().send(new LinkMessage.View(view));
			sent.complete(null);
		});
		sent.get();
	}

	void awaitLogged(String text) throws InterruptedException {
		for (int i = 0; i < APPLY_ATTEMPTS && !this.log.toString(StandardCharsets.UTF_8).contains(text); i++) {
			Thread.sleep(5);
		}
	}

	// Says on the present link whether its sender leads.
	void sendLeading(boolean leading) {
		this.loop.post(() -> this.entryLink.get()
			.send(new LinkMessage.LeaderInfo("127.0.0.1", leading, List.of("127.0.0.1"), this.followed)));
	}

	// Waits until the entry instance reports that it has applied a view.
	void awaitApplied(long term, long sequence) throws Exception {
		for (int i = 0; i < APPLY_ATTEMPTS && !applied(term, sequence); i++) {
			Thread.sleep(5);
		}
	}

	private boolean applied(long term, long sequence) {
		LinkMessage.Report last = this.lastReport;
		return last != null && last.term() == term && last.sequence() == sequence;
	}

	// Returns the status line and headers of the response to a question for readiness.
	String readiness() throws IOException {
		return head(this.readinessPort, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
	}

	// Sends a request on a connection that is to be kept, and returns the status line and
	// headers of the response.
	String callKept(String path, String id) throws IOException {
		return head(this.callerPort, "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nKey: 7\r\n\r\n");
	}

	private static String head(int port, String request) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			return ScriptedTarget.readHead(socket.getInputStream());
		}
	}

	// Asks the entry instance to relay a grant of the leader of the given term, and
	// returns the outcome.
	GrantOutcome relay(long term, ScriptedTarget target) throws Exception {
		return relay(term, Optional.empty(), target);
	}

	GrantOutcome relay(long term, Optional<Long> notAfterMillis, ScriptedTarget target) throws Exception {
		GrantCall call = new GrantCall("t-0", false, 0, 9, 1, 3000, Optional.empty());
		this.loop.post(() -> this.entryLink.get()
			.send(new LinkMessage.RelayCall(1, term, target.address(), call, notAfterMillis)));
		return this.relayReplies.poll(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).outcome();
	}

	// Begins a planned stop.
	void stop() {
		this.loop.post(this.node::stop);
	}

	// Sends a request and returns the response with its headers.
	String call(String path, String id) throws IOException {
		try (Socket socket = open(path, id)) {
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
	}

	// Sends a request without waiting for the response.
	Socket open(String path, String id) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.callerPort);
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		String method = path.startsWith("/book") ? "POST" : "GET";
		String request = method + ' ' + path + " HTTP/1.1\r\nHost: h\r\nId: " + id
				+ "\r\nKey: 7\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
		socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
		return socket;
	}

	@Override
	public void close() throws IOException {
		this.loop.stop();
		this.events.close();
		this.ports.close();
	}

	private void received(Link link, LinkMessage message) {
		if (message instanceof LinkMessage.EntryHello && this.entryLink.get() == null) {
			link.send(new LinkMessage.LeaderInfo("127.0.0.1", true, List.of("127.0.0.1"), this.followed));
			this.entryLink.set(link);
		}
		else if (message instanceof LinkMessage.RelayReply reply) {
			this.relayReplies.add(reply.reply());
		}
		else if (message instanceof LinkMessage.PermitRequest request) {
			this.grantsPermits.ifPresent((granted) -> link.send(new LinkMessage.PermitReply(request.number(), granted,
					granted ? this.permitDelayMillis : REFUSED_DELAY_MILLIS)));
			// A test that sees the question may change what the next reply is.
			this.permitRates.add(request.perSecond());
		}
		else if (message instanceof LinkMessage.Report report) {
			this.observations.addAll(report.report().observations());
			this.leaving.addAll(report.report().leaving());
			this.lastReport = report;
			link.send(new LinkMessage.LeaderInfo("127.0.0.1", true, List.of("127.0.0.1"), this.followed));
		}
	}

}
