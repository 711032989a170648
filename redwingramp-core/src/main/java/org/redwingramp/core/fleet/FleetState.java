package org.redwingramp.core.fleet;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.redwingramp.core.fleet.FleetCommand.AssignKeys;
import org.redwingramp.core.fleet.FleetCommand.ForgetTarget;
import org.redwingramp.core.fleet.FleetCommand.RecordTarget;
import org.redwingramp.core.fleet.FleetCommand.ReplaceConfig;
import org.redwingramp.core.fleet.FleetCommand.SetDomainOut;
import org.redwingramp.core.fleet.FleetResult.Outcome;
import org.redwingramp.core.ownership.KeyMap;
import org.redwingramp.core.ownership.OwnedRange;
import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.traffic.GrantMode;

/**
 * The replicated state machine of a fleet: the configuration, the failure domains out of
 * service, the targets and the owners of keys. Deterministic: the same commands in the
 * same order produce the same state. Invariants: the version of the configuration only
 * rises; a key has at most one owner; each assignment gets a higher fence than all before
 * it. Not thread safe.
 */
public final class FleetState {

	/**
	 * Maximum number of targets that are kept after they left, so that a late heartbeat
	 * doesn't add them again. A late heartbeat arrives within seconds, in which far fewer
	 * targets leave.
	 */
	private static final int MAX_LEFT_TARGETS = 1000;

	private final TreeMap<String, String> acceptedDigests = new TreeMap<>();

	private final Set<String> domainsOut = new TreeSet<>();

	private final Map<String, FleetTarget> targets = new TreeMap<>();

	private final List<String> leftTargets = new ArrayList<>();

	private final Map<String, KeyMap> keys = new TreeMap<>();

	private final Set<String> withoutCalls = new TreeSet<>();

	private long configVersion;

	private byte[] document;

	private long lastFence;

	/**
	 * Creates the state from a snapshot.
	 * @param snapshot the snapshot, {@link FleetSnapshot#EMPTY} for a new fleet
	 */
	public FleetState(FleetSnapshot snapshot) {
		this.configVersion = snapshot.configVersion();
		this.document = snapshot.document();
		this.lastFence = snapshot.lastFence();
		this.acceptedDigests.putAll(snapshot.acceptedDigests());
		this.domainsOut.addAll(snapshot.domainsOut());
		this.withoutCalls.addAll(snapshot.withoutCalls());
		snapshot.targets().forEach((target) -> this.targets.put(target.name(), target));
		snapshot.targets()
			.stream()
			.filter((target) -> target.stage() == FleetTarget.Stage.LEFT)
			.forEach((target) -> this.leftTargets.add(target.name()));
		snapshot.keys().forEach((service, ranges) -> this.keys.put(service, new KeyMap(ranges)));
	}

	/**
	 * Applies a command.
	 * @param command the command
	 * @return the result
	 */
	public FleetResult apply(FleetCommand command) {
		Outcome outcome = Outcome.ACCEPTED;
		if (command instanceof ReplaceConfig replace) {
			outcome = replace(replace);
		}
		else if (command instanceof SetDomainOut change) {
			setDomainOut(change);
		}
		else if (command instanceof RecordTarget record) {
			record(record.target());
		}
		else if (command instanceof ForgetTarget forget) {
			forget(forget.owner());
		}
		else if (command instanceof AssignKeys assign) {
			assign(assign);
		}
		return new FleetResult(outcome, this.configVersion);
	}

	/**
	 * Returns whether the same configuration was accepted before under the same version.
	 * @param version the version
	 * @param candidate the configuration as the operator sent it
	 * @return whether it was accepted
	 */
	public boolean accepted(long version, byte[] candidate) {
		return digest(candidate).equals(this.acceptedDigests.get(Long.toString(version)));
	}

	/**
	 * Returns the version of the configuration in force.
	 * @return the version, 0 for none
	 */
	public long configVersion() {
		return this.configVersion;
	}

	/**
	 * Returns the configuration in force as the operator sent it.
	 * @return the bytes, empty if no configuration has been accepted yet
	 */
	public byte[] document() {
		return this.document;
	}

	/**
	 * Returns the failure domains that are out of service.
	 * @return the names of the failure domains
	 */
	public Set<String> domainsOut() {
		return Collections.unmodifiableSet(this.domainsOut);
	}

	/**
	 * Returns the targets, including those that left.
	 * @return the targets
	 */
	public Collection<FleetTarget> targets() {
		return Collections.unmodifiableCollection(this.targets.values());
	}

	/**
	 * Finds a target by its name.
	 * @param name the target's name
	 * @return the current incarnation of the target, or empty if the name is unknown
	 */
	public Optional<FleetTarget> target(String name) {
		return Optional.ofNullable(this.targets.get(name));
	}

	/**
	 * Finds the target of an owner.
	 * @param owner the owner, which is one incarnation of a target
	 * @return the target, or empty if this incarnation isn't the current one
	 */
	public Optional<FleetTarget> target(Owner owner) {
		return target(owner.target()).filter((target) -> target.born() == owner.born());
	}

	/**
	 * Returns the owners of a service's keys.
	 * @param service the name of the service
	 * @return the owned ranges, none for a new service
	 */
	public KeyMap keys(String service) {
		return this.keys.computeIfAbsent(service, (name) -> new KeyMap(List.of()));
	}

	/**
	 * Returns the services that have a map of key owners, which may be empty.
	 * @return the names of the services
	 */
	public Set<String> keyedServices() {
		return Collections.unmodifiableSet(this.keys.keySet());
	}

	/**
	 * Returns whether a target of a service may hold keys, now or later, by a grant that
	 * any leader sent as a call.
	 * @param service the name of the service
	 * @return whether there may be such a grant
	 */
	public boolean mayHaveCalls(String service) {
		return !this.withoutCalls.contains(service);
	}

	/**
	 * Returns the highest fence that was assigned. Every later assignment gets a higher
	 * one.
	 * @return the fence, 0 if none was assigned yet
	 */
	public long highestFence() {
		return this.lastFence;
	}

	/**
	 * Returns a snapshot of the complete state.
	 * @return the snapshot, which later commands don't change
	 */
	public FleetSnapshot snapshot() {
		Map<String, List<OwnedRange>> ranges = new TreeMap<>();
		this.keys.forEach((service, map) -> ranges.put(service, map.ranges()));
		// The order in which targets left decides which are forgotten first.
		List<FleetTarget> ordered = Stream
			.concat(this.targets.values().stream().filter((target) -> target.stage() != FleetTarget.Stage.LEFT),
					this.leftTargets.stream().map(this.targets::get))
			.toList();
		return new FleetSnapshot(this.configVersion, this.document, new TreeMap<>(this.acceptedDigests),
				List.copyOf(this.domainsOut), ordered, ranges, this.lastFence, List.copyOf(this.withoutCalls));
	}

	private Outcome replace(ReplaceConfig change) {
		if (accepted(change.version(), change.document())) {
			return Outcome.ALREADY_ACCEPTED;
		}
		if (change.base() != this.configVersion) {
			return Outcome.WRONG_BASE;
		}
		if (change.version() <= this.configVersion) {
			return Outcome.VERSION_NOT_HIGHER;
		}
		this.configVersion = change.version();
		this.document = change.document();
		this.acceptedDigests.put(Long.toString(change.version()), digest(change.document()));
		return Outcome.ACCEPTED;
	}

	private void setDomainOut(SetDomainOut change) {
		if (change.out()) {
			this.domainsOut.add(change.domain());
		}
		else {
			this.domainsOut.remove(change.domain());
			// Without requests, its targets may have become cold.
			this.targets.replaceAll((name, target) -> target.domain().equals(change.domain())
					? target.withWarmth(false, target.warmthSequence()) : target);
		}
	}

	private void record(FleetTarget target) {
		FleetTarget former = this.targets.put(target.name(), target);
		if (former != null && former.born() != target.born()) {
			removeRangesOf(former.owner());
		}
		this.leftTargets.remove(target.name());
		if (target.stage() == FleetTarget.Stage.LEFT) {
			this.leftTargets.add(target.name());
		}
		if (this.leftTargets.size() > MAX_LEFT_TARGETS) {
			target(this.leftTargets.remove(0)).map(FleetTarget::owner).ifPresent(this::forget);
		}
	}

	private void forget(Owner owner) {
		target(owner).ifPresent((target) -> {
			this.targets.remove(target.name());
			this.leftTargets.remove(target.name());
		});
		removeRangesOf(owner);
	}

	private void removeRangesOf(Owner owner) {
		this.keys.values().forEach((map) -> map.rangesOf(owner).forEach((range) -> map.remove(range.keys())));
	}

	private void assign(AssignKeys assign) {
		assign.grants().ifPresent((mode) -> {
			if (mode == GrantMode.HEARTBEAT) {
				this.withoutCalls.add(assign.service());
			}
			else {
				this.withoutCalls.remove(assign.service());
			}
		});
		KeyMap map = keys(assign.service());
		assign.moves()
			.stream()
			.filter((move) -> move.keys().valid() && target(move.owner()).isPresent())
			.forEach((move) -> map.assign(new OwnedRange(move.keys(), move.owner(), ++this.lastFence)));
	}

	private static String digest(byte[] data) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(data));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the Java runtime has no SHA-256", ex);
		}
	}

}
