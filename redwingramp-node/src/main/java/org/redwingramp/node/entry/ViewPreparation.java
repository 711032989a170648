package org.redwingramp.node.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Callable;

import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.fleet.KeyOwners;
import org.redwingramp.core.traffic.RouteTable;
import org.redwingramp.core.traffic.TrafficConfig;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.http.TargetAddress;
import org.redwingramp.node.link.PackedDocument;

/**
 * The new state that an update results in, as far as it differs from the present one.
 * Creating it doesn't change the present state. Invariant: an element that can't be used
 * is left out by itself, so it doesn't keep the others from being applied. Not thread
 * safe; confined to the event loop thread.
 */
final class ViewPreparation {

	private final FleetView update;

	private final List<SkippedElement> skipped = new ArrayList<>();

	private final Map<String, PreparedTarget> targets = new LinkedHashMap<>();

	private final List<String> unusableTargets = new ArrayList<>();

	private final Map<String, KeyOwners> owners = new HashMap<>();

	private Optional<PreparedConfig> config = Optional.empty();

	ViewPreparation(FleetView update) {
		this.update = update;
	}

	// Reads the configuration, unless the update contains none or an earlier one.
	void prepareConfig(PlatformDialect dialect, long configVersion) {
		if (this.update.document().isPresent() && this.update.configVersion() > configVersion) {
			this.config = prepare(SkippedElement.Kind.CONFIGURATION, "version " + this.update.configVersion(), () -> {
				TrafficConfig next = dialect.config(PackedDocument.unpack(this.update.document().get()));
				return new PreparedConfig(next, new RouteTable(next));
			});
		}
	}

	// Prepares each listed target. One that can't be used is removed, since its former
	// state is out of date.
	void prepareTargets(Map<String, EntryTarget> present, TargetFactory factory) {
		this.update.targets().forEach((target) -> {
			Optional<PreparedTarget> prepared = prepare(SkippedElement.Kind.TARGET, target.name(),
					() -> prepareTarget(target, Optional.ofNullable(present.get(target.name())), factory));
			if (prepared.isPresent()) {
				this.targets.put(target.name(), prepared.get());
			}
			else {
				this.unusableTargets.add(target.name());
			}
		});
	}

	private static PreparedTarget prepareTarget(ViewTarget view, Optional<EntryTarget> present, TargetFactory factory) {
		Objects.requireNonNull(view.name(), "the target has no name");
		Objects.requireNonNull(view.service(), "the target has no service");
		Objects.requireNonNull(view.domain(), "the target has no failure domain");
		InetSocketAddress address = TargetAddress
			.parse(Objects.requireNonNull(view.address(), "the target has no address"))
			.orElseThrow(() -> new IllegalArgumentException("no connection can be opened to " + view.address()));
		return new PreparedTarget(view, present.filter(
				(existing) -> existing.view().address().equals(view.address()) && existing.view().born() == view.born())
			.orElseGet(() -> factory.create(view, address)));
	}

	// Prepares the owners of each service with changes. If a range can't be used, the
	// others are changed one by one.
	void prepareOwners(Map<String, KeyOwners> present) {
		this.update.keys().forEach((service, changes) -> {
			KeyOwners former = this.update.full() ? KeyOwners.NONE : present.getOrDefault(service, KeyOwners.NONE);
			this.owners.put(service, prepareOwners(service, former, changes));
		});
	}

	private KeyOwners prepareOwners(String service, KeyOwners former, List<ViewRange> changes) {
		try {
			return former.with(changes);
		}
		catch (RuntimeException ex) {
			KeyOwners next = former;
			for (ViewRange change : changes) {
				KeyOwners current = next;
				next = prepare(SkippedElement.Kind.KEY_RANGE,
						service + ' ' + change.first() + '-' + change.last() + ' ' + change.owner(),
						() -> current.with(List.of(change)))
					.orElse(current);
			}
			return next;
		}
	}

	Optional<PreparedConfig> config() {
		return this.config;
	}

	Map<String, PreparedTarget> targets() {
		return this.targets;
	}

	// Returns the names of the targets that were left out.
	List<String> unusableTargets() {
		return this.unusableTargets;
	}

	// Returns the owners of all keys of the services with changes.
	Map<String, KeyOwners> owners() {
		return this.owners;
	}

	List<SkippedElement> skipped() {
		return this.skipped;
	}

	private <T> Optional<T> prepare(SkippedElement.Kind kind, String name, Callable<T> preparation) {
		try {
			return Optional.of(preparation.call());
		}
		catch (Exception ex) {
			this.skipped.add(SkippedElement.of(kind, name, ex));
			return Optional.empty();
		}
	}

	/**
	 * A configuration with its routes.
	 *
	 * @param config the configuration
	 * @param routes its routes
	 */
	record PreparedConfig(TrafficConfig config, RouteTable routes) {
	}

	/**
	 * A target with its new entry in the view, which it doesn't have yet.
	 *
	 * @param view the new entry
	 * @param target the present target if the incarnation is the same, or a new one
	 */
	record PreparedTarget(ViewTarget view, EntryTarget target) {
	}

	/**
	 * Creates the state of a target that an entry instance didn't know before.
	 */
	interface TargetFactory {

		EntryTarget create(ViewTarget view, InetSocketAddress address);

	}

}
