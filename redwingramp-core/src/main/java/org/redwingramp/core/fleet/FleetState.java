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

import org.redwingramp.core.fleet.FleetCommand.AssignKeys;
import org.redwingramp.core.fleet.FleetCommand.ForgetTarget;
import org.redwingramp.core.fleet.FleetCommand.RecordTarget;
import org.redwingramp.core.fleet.FleetCommand.ReplaceConfig;
import org.redwingramp.core.fleet.FleetCommand.SetDomainOut;
import org.redwingramp.core.fleet.FleetResult.Outcome;
import org.redwingramp.core.ownership.KeyMap;
import org.redwingramp.core.ownership.OwnedRange;
import org.redwingramp.core.ownership.Owner;

/**
 * The replicated state machine of a fleet. Deterministic: the same commands in the same
 * order give the same state. Invariants: the version of the configuration only rises; a
 * key has at most one owner; each assignment gets a higher fence than all before. Not
 * thread safe.
 */
public final class FleetState {

	/**
	 * The number of targets kept after they left. A late heartbeat arrives within
	 * seconds, in which far fewer targets leave.
	 */
	private static final int MAX_LEFT_TARGETS = 1000;

	private final TreeMap<String, String> acceptedDigests = new TreeMap<>();

	private final Set<String> domainsOut = new TreeSet<>();

	private final Map<String, FleetTarget> targets = new TreeMap<>();

	private final List<String> left = new ArrayList<>();

	private final Map<String, KeyMap> keys = new TreeMap<>();

	private long configVersion;

	private byte[] document;

	private long lastFence;

	/**
	 * Creates the state from a snapshot.
	 * @param image the snapshot, {@link FleetImage#EMPTY} for a new fleet
	 */
	public FleetState(FleetImage image) {
		this.configVersion = image.configVersion();
		this.document = image.document();
		this.lastFence = image.lastFence();
		this.acceptedDigests.putAll(image.acceptedDigests());
		this.domainsOut.addAll(image.domainsOut());
		image.targets().forEach((target) -> this.targets.put(target.name(), target));
		image.targets()
			.stream()
			.filter((target) -> target.stage() == FleetTarget.Stage.LEFT)
			.forEach((target) -> this.left.add(target.name()));
		image.keys().forEach((service, ranges) -> this.keys.put(service, new KeyMap(ranges)));
	}

	/**
	 * Applies a command.
	 * @param command the command
	 * @return what became of it
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
	 * Returns whether exactly this configuration was accepted before.
	 * @param version its version
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
	 * @return the bytes, empty before the first one
	 */
	public byte[] document() {
		return this.document;
	}

	/**
	 * Returns the failure domains that are out of service.
	 * @return their names
	 */
	public Set<String> domainsOut() {
		return Collections.unmodifiableSet(this.domainsOut);
	}

	/**
	 * Returns the targets, those that left included.
	 * @return the targets
	 */
	public Collection<FleetTarget> targets() {
		return Collections.unmodifiableCollection(this.targets.values());
	}

	/**
	 * Finds a target.
	 * @param name its name
	 * @return the target
	 */
	public Optional<FleetTarget> target(String name) {
		return Optional.ofNullable(this.targets.get(name));
	}

	/**
	 * Finds the current life of an owner.
	 * @param owner the owner
	 * @return the target, or empty if that life is over
	 */
	public Optional<FleetTarget> target(Owner owner) {
		return target(owner.target()).filter((target) -> target.born() == owner.born());
	}

	/**
	 * Returns the owners of a service's keys.
	 * @param service the service
	 * @return the owned ranges
	 */
	public KeyMap keys(String service) {
		return this.keys.computeIfAbsent(service, (name) -> new KeyMap(List.of()));
	}

	/**
	 * Returns the services that have owners of keys.
	 * @return their names
	 */
	public Set<String> keyedServices() {
		return Collections.unmodifiableSet(this.keys.keySet());
	}

	/**
	 * Returns the whole state.
	 * @return the state, which shares nothing with this object
	 */
	public FleetImage image() {
		Map<String, List<OwnedRange>> ranges = new TreeMap<>();
		this.keys.forEach((service, map) -> ranges.put(service, map.ranges()));
		return new FleetImage(this.configVersion, this.document, new TreeMap<>(this.acceptedDigests),
				List.copyOf(this.domainsOut), List.copyOf(this.targets.values()), ranges, this.lastFence);
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
		}
	}

	private void record(FleetTarget target) {
		FleetTarget former = this.targets.put(target.name(), target);
		if (former != null && former.born() != target.born()) {
			free(former.owner());
		}
		this.left.remove(target.name());
		if (target.stage() == FleetTarget.Stage.LEFT) {
			this.left.add(target.name());
		}
		if (this.left.size() > MAX_LEFT_TARGETS) {
			target(this.left.remove(0)).map(FleetTarget::owner).ifPresent(this::forget);
		}
	}

	private void forget(Owner owner) {
		target(owner).ifPresent((target) -> {
			this.targets.remove(target.name());
			this.left.remove(target.name());
		});
		free(owner);
	}

	private void free(Owner owner) {
		this.keys.values().forEach((map) -> map.rangesOf(owner).forEach((range) -> map.remove(range.keys())));
	}

	private void assign(AssignKeys assign) {
		KeyMap map = keys(assign.service());
		assign.moves()
			.stream()
			.filter((move) -> target(move.owner()).isPresent())
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
