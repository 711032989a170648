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
import java.util.stream.Collectors;

import org.redwingramp.core.fleet.ViewFlowControl;
import org.redwingramp.core.fleet.ViewState;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.events.NodeMetrics;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.node.loop.EventLoop;

/**
 * The entry instances that are connected to this replica and, while it leads, what each
 * of them has acknowledged. Not thread safe; it belongs to the loop's thread.
 */
final class EntrySessions {

	private static final long MILLISECOND = 1_000_000L;

	/** An entry instance that is silent for longer is no longer waited for. */
	static final long SILENT_NANOS = 1200 * MILLISECOND;

	/** How long an operator's answer waits for entry instances to apply the change. */
	private static final long CONFIRM_NANOS = 300 * MILLISECOND;

	/**
	 * An entry instance whose oldest unacknowledged view is older is logged. Half the
	 * time in which the platform wants a change in force.
	 */
	private static final long BEHIND_NANOS = 1000 * MILLISECOND;

	/**
	 * An entry instance shares limits for this long after its last link ended, the time
	 * after which it serves no more keys without a leader.
	 */
	private static final long STILL_COUNTED_NANOS = 12_000 * MILLISECOND;

	/** The most entry instances that one log line names. */
	private static final int MAX_NAMES = 5;

	private final EventLoop loop;

	private final EventWriter events;

	private final Map<Link, LinkMessage.EntryHello> links = new LinkedHashMap<>();

	private final Map<Link, EntrySession> sessions = new HashMap<>();

	private final List<Confirmation> confirmations = new ArrayList<>();

	private final Map<String, Long> leftNanos = new HashMap<>();

	private ViewState current = ViewState.EMPTY;

	private int instances;

	private int builtInstances;

	private long builtChanges;

	EntrySessions(EventLoop loop, EventWriter events) {
		this.loop = loop;
		this.events = events;
	}

	void addGauges(NodeMetrics metrics) {
		metrics.gauge("entry_instances", () -> this.sessions.size());
		metrics.gauge("entry_instances_sharing", () -> this.instances);
		metrics.gauge("entry_queued_bytes_max",
				() -> this.sessions.keySet().stream().mapToLong(Link::queuedBytes).max().orElse(0));
		metrics.gauge("entry_behind_millis_max", () -> maxBehindNanos(System.nanoTime()) / MILLISECOND);
	}

	void hello(Link link, LinkMessage.EntryHello hello) {
		this.links.put(link, hello);
		countInstances(System.nanoTime());
	}

	void ended(Link link) {
		this.sessions.remove(link);
		LinkMessage.EntryHello hello = this.links.remove(link);
		if (hello != null) {
			this.leftNanos.put(hello.entry(), System.nanoTime());
		}
	}

	// An instance that lost its link may still send requests on its last view.
	private void countInstances(long now) {
		this.leftNanos.values().removeIf((left) -> now - left > STILL_COUNTED_NANOS);
		Set<String> names = new HashSet<>(this.leftNanos.keySet());
		this.links.values().forEach((hello) -> names.add(hello.entry()));
		this.instances = names.size();
	}

	void tell(LinkMessage message) {
		List.copyOf(this.links.keySet()).forEach((link) -> link.send(message));
	}

	void dropSilent(long now) {
		List.copyOf(this.links.keySet())
			.stream()
			.filter((link) -> now - link.heardNanos() > 2 * SILENT_NANOS)
			.forEach(Link::close);
	}

	// Begins a leadership: each connected entry instance follows it.
	void begin() {
		this.builtChanges = -1;
		this.links.forEach((link, hello) -> follow(link, hello.entry(), hello.configVersion()));
	}

	// Sends the changes of the view to the entry instances that can take them now.
	void publish(ViewSource source, long now) {
		Map<ViewState, byte[]> encoded = new IdentityHashMap<>();
		Map<ViewState, byte[]> encodedWithConfig = new IdentityHashMap<>();
		for (EntrySession session : this.sessions.values()) {
			ViewFlowControl flowControl = session.flowControl();
			if (!flowControl.ready(source.configVersion(), now)) {
				continue;
			}
			refresh(source, now);
			boolean config = flowControl.lacksConfig(source.configVersion());
			if (flowControl.lastSentState() != this.current || config) {
				byte[] message = (config ? encodedWithConfig : encoded).computeIfAbsent(flowControl.lastSentState(),
						(former) -> encode(source, former, config));
				session.link().send(message);
				flowControl.sent(this.current, message.length, now);
			}
		}
	}

	private byte[] encode(ViewSource source, ViewState former, boolean config) {
		Optional<byte[]> document = config ? Optional.of(source.document()) : Optional.empty();
		return Link.encode(new LinkMessage.View(this.current.changesSince(former, source.term(), document)));
	}

	private void refresh(ViewSource source, long now) {
		if (source.changes() == this.builtChanges && source.configVersion() == this.current.configVersion()
				&& this.instances == this.builtInstances) {
			return;
		}
		this.builtChanges = source.changes();
		this.builtInstances = this.instances;
		ViewState next = source.state(this.current.sequence() + 1, this.instances, now);
		if (next.differs(this.current)) {
			this.current = next;
		}
	}

	// Ends a leadership. What was waiting for confirmation is committed.
	void end() {
		this.sessions.clear();
		List.copyOf(this.confirmations).forEach(this::confirm);
	}

	void follow(Link link, String entry, long configVersion) {
		this.sessions.computeIfAbsent(link, (key) -> new EntrySession(link, entry, configVersion));
	}

	Optional<EntrySession> session(Link link) {
		return Optional.ofNullable(this.sessions.get(link));
	}

	Optional<EntrySession> session(String entry) {
		return this.sessions.values().stream().filter((open) -> open.name().equals(entry)).findFirst();
	}

	void acknowledged(Link link, long sequence, long now) {
		session(link).ifPresent((session) -> session.flowControl().acknowledged(sequence));
		long least = awaited(now).stream()
			.mapToLong((session) -> session.flowControl().acknowledgedSequence())
			.min()
			.orElse(Long.MAX_VALUE);
		this.confirmations.stream().filter((open) -> open.sequence() <= least).toList().forEach(this::confirm);
	}

	// An operator hears of a change once the entry instances have it, if they are quick.
	void confirmLater(long configVersion, Runnable reply) {
		Confirmation confirmation = new Confirmation(this.current.sequence() + 1, configVersion, System.nanoTime(),
				reply);
		this.confirmations.add(confirmation);
		this.loop.schedule(CONFIRM_NANOS, () -> confirm(confirmation));
	}

	// Logs the entry instances that fall behind or have caught up.
	void check(long now) {
		countInstances(now);
		this.sessions.values().forEach((session) -> {
			boolean behind = session.flowControl().oldestUnacknowledgedAgeNanos(now) > BEHIND_NANOS;
			if (behind != session.behind) {
				session.behind = behind;
				this.events.log(NodeEvent.ENTRY_BEHIND, "entry", session.name(), "behind", behind, "millis",
						session.flowControl().oldestUnacknowledgedAgeNanos(now) / MILLISECOND, "queued-bytes",
						session.link().queuedBytes(), "acknowledged", session.flowControl().acknowledgedSequence(),
						"sent", session.flowControl().lastSentState().sequence(), "sent-config",
						session.flowControl().sentConfigVersion());
			}
		});
	}

	private long maxBehindNanos(long now) {
		return this.sessions.values()
			.stream()
			.mapToLong((session) -> session.flowControl().oldestUnacknowledgedAgeNanos(now))
			.max()
			.orElse(0);
	}

	private List<EntrySession> awaited(long now) {
		return this.sessions.values()
			.stream()
			.filter((session) -> now - session.link().heardNanos() < SILENT_NANOS)
			.toList();
	}

	private void confirm(Confirmation confirmation) {
		if (this.confirmations.remove(confirmation)) {
			long now = System.nanoTime();
			List<EntrySession> missing = awaited(now).stream()
				.filter((session) -> session.flowControl().acknowledgedSequence() < confirmation.sequence())
				.toList();
			this.events.log(NodeEvent.CHANGE_CONFIRMED, "version", confirmation.configVersion(), "view",
					confirmation.sequence(), "millis", (now - confirmation.sinceNanos()) / MILLISECOND,
					"entry-instances", this.sessions.size(), "without-it", missing.size(), "names",
					missing.stream().limit(MAX_NAMES).map(EntrySession::name).collect(Collectors.joining(" ")));
			confirmation.reply().run();
		}
	}

	/**
	 * What the leader knows of the fleet now.
	 */
	interface ViewSource {

		long term();

		long configVersion();

		byte[] document();

		// Returns a number that changes with the targets and keys.
		long changes();

		ViewState state(long sequence, int instances, long now);

	}

	/**
	 * An operator's answer that waits for the entry instances.
	 *
	 * @param sequence the sequence of the view that they must have
	 * @param configVersion the version of the configuration in that view
	 * @param sinceNanos since when it waits
	 * @param reply sends the answer
	 */
	private record Confirmation(long sequence, long configVersion, long sinceNanos, Runnable reply) {
	}

}
