package org.redwingramp.node.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.redwingramp.core.fleet.LagReason;
import org.redwingramp.core.fleet.ViewFlowControl;
import org.redwingramp.core.fleet.ViewState;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.events.NodeMetrics;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.node.loop.EventLoop;

/**
 * The entry instances that are connected to this replica. While the replica leads, each
 * of them has a session, which receives the view and tracks its acknowledgements.
 * Invariant: views bear the term in which the sessions were opened, also when this
 * replica has heard of a later term meanwhile. Not thread safe; confined to the event
 * loop's thread.
 */
final class EntrySessions {

	private static final long MILLISECOND = 1_000_000L;

	/**
	 * Confirmations don't wait for an entry instance from which nothing was received for
	 * this long. After twice this time its link is closed.
	 */
	static final long UNRESPONSIVE_NANOS = 1200 * MILLISECOND;

	/** Maximum delay of the response to an operator until entry instances confirm. */
	private static final long CONFIRMATION_TIMEOUT_NANOS = 300 * MILLISECOND;

	/**
	 * Time after the end of its last link for which an entry instance is still counted
	 * among those that share the fleet-wide limits. After this time without a leader it
	 * stops serving requests for keys.
	 */
	private static final long COUNTED_AFTER_DISCONNECT_NANOS = 12_000 * MILLISECOND;

	/** Maximum number of entry instances that one log line names. */
	private static final int MAX_LOGGED_NAMES = 5;

	private final EventLoop loop;

	private final EventWriter events;

	private final Map<Link, LinkMessage.EntryHello> links = new LinkedHashMap<>();

	private final Map<Link, EntrySession> sessions = new HashMap<>();

	private final List<Confirmation> confirmations = new ArrayList<>();

	private final Map<String, Long> disconnectedNanos = new HashMap<>();

	private final Map<String, EntryProgress> progress = new HashMap<>();

	private final FailedWorkLog failedWork;

	private long lastRelayNumber;

	// The term of the leadership to which the sessions belong.
	private long term;

	// The last view that was built, and the inputs that it was built from.
	private ViewState currentView = ViewState.EMPTY;

	// The sequence number of the first view with the configuration of the last one.
	private long configSequence;

	private int instances;

	private int lastBuiltInstances;

	private long lastBuiltChangeCount;

	EntrySessions(EventLoop loop, EventWriter events) {
		this.loop = loop;
		this.events = events;
		this.failedWork = new FailedWorkLog(events);
	}

	void addGauges(NodeMetrics metrics) {
		metrics.gauge("entry_instances", () -> this.sessions.size());
		metrics.gauge("entry_instances_sharing", () -> this.instances);
		metrics.gauge("entry_queued_bytes_max",
				() -> this.sessions.keySet().stream().mapToLong(Link::queuedBytes).max().orElse(0));
		metrics.gauge("entry_behind_millis_max", () -> maxBehindNanos(System.nanoTime()) / MILLISECOND);
		metrics.gauge("entry_applied_age_millis_max", () -> maxAppliedAgeNanos(System.nanoTime()) / MILLISECOND);
		metrics.gauge("entry_instances_behind", () -> count((entry) -> entry.behind(System.nanoTime())));
		metrics.gauge("entry_instances_not_following", () -> count((entry) -> entry.lag().isPresent()));
		metrics.gauge("entry_instances_config_unreadable", () -> count(EntrySessions::configUnreadable));
	}

	void helloReceived(Link link, LinkMessage.EntryHello hello) {
		this.links.put(link, hello);
		countInstances(System.nanoTime());
	}

	void linkClosed(Link link) {
		this.sessions.remove(link);
		LinkMessage.EntryHello hello = this.links.remove(link);
		if (hello != null) {
			this.disconnectedNanos.put(hello.entry(), System.nanoTime());
		}
	}

	// A disconnected instance may still send requests according to its last view.
	private void countInstances(long now) {
		this.disconnectedNanos.values().removeIf((since) -> now - since > COUNTED_AFTER_DISCONNECT_NANOS);
		Set<String> names = new HashSet<>(this.disconnectedNanos.keySet());
		this.links.values().forEach((hello) -> names.add(hello.entry()));
		this.progress.keySet().retainAll(names);
		this.instances = names.size();
	}

	void broadcast(LinkMessage message) {
		List.copyOf(this.links.keySet()).forEach((link) -> link.send(message));
	}

	void closeUnresponsive(long now) {
		List.copyOf(this.links.keySet())
			.stream()
			.filter((link) -> now - link.lastReceivedNanos() > 2 * UNRESPONSIVE_NANOS)
			.forEach(Link::close);
	}

	// Opens a session for each connected entry instance when this replica begins to lead
	// in the given term.
	void startLeading(long leadershipTerm) {
		this.term = leadershipTerm;
		this.lastBuiltChangeCount = -1;
		this.failedWork.restart();
		this.links.forEach((link, hello) -> openSession(link, hello.entry(), hello.configVersion()));
	}

	// Sends the changes of the view to the entry instances whose flow control permits it.
	// Views with the same base state are encoded once. A failure is limited to the
	// instances whose view it concerns, and they get it later.
	void publishView(ViewSource source, long now) {
		List<EntrySession> ready = this.sessions.values()
			.stream()
			.filter((session) -> session.readyForView(source.configVersion(), now))
			.toList();
		if (ready.isEmpty() || !refreshView(source, now)) {
			ready.forEach((session) -> session.viewFailed(now));
			return;
		}
		Map<ViewState, byte[]> encoded = new IdentityHashMap<>();
		Map<ViewState, byte[]> encodedWithConfig = new IdentityHashMap<>();
		for (EntrySession session : ready) {
			try {
				sendView(session, source, encoded, encodedWithConfig, now);
			}
			catch (RuntimeException ex) {
				session.viewFailed(now);
				this.failedWork.failed("send view", session.name(), ex);
			}
		}
	}

	private void sendView(EntrySession session, ViewSource source, Map<ViewState, byte[]> encoded,
			Map<ViewState, byte[]> encodedWithConfig, long now) {
		ViewFlowControl flowControl = session.flowControl();
		boolean config = flowControl.lacksConfig(source.configVersion());
		if (flowControl.lastSentState() != this.currentView || config) {
			byte[] message = (config ? encodedWithConfig : encoded).computeIfAbsent(flowControl.lastSentState(),
					(base) -> encode(source, base, config, now));
			session.link().send(message);
			flowControl.sent(this.currentView, message.length, now);
		}
	}

	private byte[] encode(ViewSource source, ViewState base, boolean config, long now) {
		Optional<byte[]> document = config ? Optional.of(source.document()) : Optional.empty();
		return Link.encode(new LinkMessage.View(this.currentView.changesSince(base, this.term, document, now)));
	}

	// Returns whether the current view includes all changes. After a failure the next
	// call builds it again.
	private boolean refreshView(ViewSource source, long now) {
		long changeCount = source.changeCount();
		if (changeCount == this.lastBuiltChangeCount && source.configVersion() == this.currentView.configVersion()
				&& this.instances == this.lastBuiltInstances) {
			return true;
		}
		try {
			ViewState next = source.state(this.currentView.sequence() + 1, this.instances, now);
			if (next.differs(this.currentView)) {
				if (next.configVersion() != this.currentView.configVersion()) {
					this.configSequence = next.sequence();
				}
				this.currentView = next;
			}
			this.lastBuiltChangeCount = changeCount;
			this.lastBuiltInstances = this.instances;
			return true;
		}
		catch (RuntimeException ex) {
			this.failedWork.failed("build view", "all", ex);
			return false;
		}
	}

	// Closes all sessions when this replica stops leading. The changes that still wait
	// for confirmation are committed, so their operators get a response.
	void stopLeading() {
		this.sessions.clear();
		this.progress.clear();
		List.copyOf(this.confirmations).forEach(this::confirm);
	}

	void openSession(Link link, String entry, long configVersion) {
		this.sessions.computeIfAbsent(link,
				(key) -> new EntrySession(link, entry, configVersion,
						this.progress.computeIfAbsent(entry, (name) -> new EntryProgress(System.nanoTime())),
						() -> ++this.lastRelayNumber));
	}

	Optional<EntrySession> session(Link link) {
		return Optional.ofNullable(this.sessions.get(link));
	}

	Optional<EntrySession> session(String entry) {
		return this.sessions.values().stream().filter((session) -> session.name().equals(entry)).findFirst();
	}

	// Takes note of what an entry instance has applied. A view of another term says
	// nothing about the views of this one, which are numbered anew.
	void reportReceived(Link link, LinkMessage.Report report, long now) {
		long acknowledged = (report.term() == this.term) ? report.sequence() : 0;
		session(link).ifPresent((session) -> {
			session.flowControl().acknowledged(acknowledged);
			session.progress().reported(report);
			session.noteProgress(now);
		});
		long minAcknowledged = responsiveSessions(now).stream()
			.mapToLong((session) -> session.flowControl().acknowledgedSequence())
			.min()
			.orElse(Long.MAX_VALUE);
		this.confirmations.stream()
			.filter((pending) -> pending.sequence() <= minAcknowledged)
			.toList()
			.forEach(this::confirm);
	}

	// Delays the response to an operator until the entry instances have applied the
	// change, but at most for the confirmation timeout. The reply is told whether none of
	// them can read the configuration.
	void confirmWhenApplied(long configVersion, Consumer<Boolean> reply) {
		Confirmation confirmation = new Confirmation(this.currentView.sequence() + 1, configVersion, System.nanoTime(),
				reply);
		this.confirmations.add(confirmation);
		this.loop.schedule(CONFIRMATION_TIMEOUT_NANOS, () -> confirm(confirmation));
	}

	// Returns whether any entry instance follows this leader, as far as all of them have
	// reported. An instance that doesn't state it counts as one that does.
	Optional<Boolean> followed(long now) {
		List<EntrySession> responsive = responsiveSessions(now);
		boolean known = !responsive.isEmpty()
				&& responsive.stream().allMatch((session) -> session.progress().reported());
		return known ? Optional.of(responsive.stream().anyMatch((session) -> session.progress().lag().isEmpty()))
				: Optional.empty();
	}

	// Returns whether all entry instances state that they can't read the version of the
	// configuration. Only reports of instances that have received it count, and none do
	// once it is replaced.
	boolean readableByNone(long configVersion, long now) {
		List<EntrySession> responsive = responsiveSessions(now);
		return configVersion == this.currentView.configVersion() && !responsive.isEmpty()
				&& responsive.stream()
					.allMatch((session) -> session.flowControl().acknowledgedSequence() >= this.configSequence
							&& configUnreadable(session.progress()));
	}

	private static boolean configUnreadable(EntryProgress entry) {
		return entry.lag().filter(LagReason.CONFIG_UNREADABLE.name()::equals).isPresent();
	}

	// Logs entry instances that have fallen behind or caught up since the last check.
	void checkLag(long now) {
		countInstances(now);
		this.sessions.values().forEach((session) -> {
			EntryProgress entry = session.progress();
			session.noteProgress(now);
			long millis = entry.ageNanos(now) / MILLISECOND;
			if (entry.behindChanged(now)) {
				this.events.log(NodeEvent.ENTRY_BEHIND, "entry", session.name(), "behind", entry.behind(now), "reason",
						entry.lag().orElse(""), "millis", millis, "config", entry.configVersion(), "queued-bytes",
						session.link().queuedBytes(), "acknowledged", session.flowControl().acknowledgedSequence(),
						"sent", session.flowControl().lastSentState().sequence(), "sent-config",
						session.flowControl().sentConfigVersion());
			}
		});
	}

	private long count(Predicate<EntryProgress> condition) {
		return this.progress.values().stream().filter(condition).count();
	}

	private long maxAppliedAgeNanos(long now) {
		return this.sessions.values().stream().mapToLong((session) -> session.progress().ageNanos(now)).max().orElse(0);
	}

	private long maxBehindNanos(long now) {
		return this.sessions.values()
			.stream()
			.mapToLong((session) -> session.flowControl().oldestUnacknowledgedAgeNanos(now))
			.max()
			.orElse(0);
	}

	private List<EntrySession> responsiveSessions(long now) {
		return this.sessions.values()
			.stream()
			.filter((session) -> now - session.link().lastReceivedNanos() < UNRESPONSIVE_NANOS)
			.toList();
	}

	private void confirm(Confirmation confirmation) {
		if (this.confirmations.remove(confirmation)) {
			long now = System.nanoTime();
			List<EntrySession> unconfirmed = responsiveSessions(now).stream()
				.filter((session) -> session.flowControl().acknowledgedSequence() < confirmation.sequence()
						|| session.progress().lag().isPresent())
				.toList();
			this.events.log(NodeEvent.CHANGE_CONFIRMED, "version", confirmation.configVersion(), "view",
					confirmation.sequence(), "millis", (now - confirmation.sinceNanos()) / MILLISECOND,
					"entry-instances", this.sessions.size(), "without-it", unconfirmed.size(), "names",
					unconfirmed.stream()
						.limit(MAX_LOGGED_NAMES)
						.map(EntrySession::name)
						.collect(Collectors.joining(" ")));
			confirmation.reply().accept(readableByNone(confirmation.configVersion(), now));
		}
	}

	/**
	 * The fleet as this leader currently knows it.
	 */
	interface ViewSource {

		long configVersion();

		byte[] document();

		// Returns a number that differs after each change of the targets or keys.
		long changeCount();

		ViewState state(long sequence, int instances, long now);

	}

	/**
	 * A delayed response to an operator, sent once the entry instances have applied the
	 * change.
	 *
	 * @param sequence the sequence number of the view that they must have acknowledged
	 * @param configVersion the version of the configuration in that view
	 * @param sinceNanos the monotonic time at which the delay began
	 * @param reply sends the response; it is told whether no entry instance can read the
	 * configuration
	 */
	private record Confirmation(long sequence, long configVersion, long sinceNanos, Consumer<Boolean> reply) {
	}

}
