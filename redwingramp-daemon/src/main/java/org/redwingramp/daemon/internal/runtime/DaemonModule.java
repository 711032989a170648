package org.redwingramp.daemon.internal.runtime;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import javax.inject.Singleton;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;

import org.redwingramp.daemon.internal.control.ControlClient;
import org.redwingramp.daemon.internal.control.ControlLoop;
import org.redwingramp.daemon.internal.control.ControlPeers;
import org.redwingramp.daemon.internal.control.ControlRole;
import org.redwingramp.daemon.internal.control.ControlRole.OpenStore;
import org.redwingramp.daemon.internal.control.PeerControlClient;
import org.redwingramp.daemon.internal.http.ControlReader;
import org.redwingramp.daemon.internal.http.ExplainEndpoint;
import org.redwingramp.daemon.internal.http.HealthHandler;
import org.redwingramp.daemon.internal.http.OperatorHandler;
import org.redwingramp.daemon.internal.http.RecordsEndpoint;
import org.redwingramp.daemon.internal.http.StatusEndpoint;
import org.redwingramp.daemon.internal.http.WatchEndpoint;
import org.redwingramp.daemon.internal.metrics.PrometheusText;
import org.redwingramp.records.InstanceRole;
import org.redwingramp.records.Settings;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.LocalPeer;
import org.redwingramp.wire.PeerLinks;
import org.redwingramp.wire.PeerServer;
import org.redwingramp.wire.ServerSettings;
import org.redwingramp.wire.SharedKey;

/**
 * Provides the components of a daemon for dependency injection. Immutable and thread
 * safe.
 */
@Module
final class DaemonModule {

	private static final int MAX_OPERATOR_REQUESTS = 16;

	private final Settings settings;

	private final Optional<OpenStore> store;

	DaemonModule(Settings settings, Optional<OpenStore> store) {
		this.settings = settings;
		this.store = store;
	}

	@Provides
	@Singleton
	LongSupplier clock() {
		return System::nanoTime;
	}

	@Provides
	@Singleton
	MetricRegistry metrics() {
		return new MetricRegistry();
	}

	@Provides
	@Singleton
	ControlPeers peers() {
		String self = this.settings.hasRole(InstanceRole.CONTROL) ? this.settings.instance().name() : "";
		return new ControlPeers(self,
				this.settings.control()
					.replicas()
					.stream()
					.collect(Collectors.toMap(Settings.Replica::name, (replica) -> replica.address().toString())));
	}

	@Provides
	@Singleton
	LocalPeer localPeer() {
		long incarnation = this.store.map((opened) -> opened.id().incarnation())
			.orElseGet(() -> new SecureRandom().nextLong());
		SharedKey key = SharedKey.of(this.settings.sharedKey().reveal().getBytes(StandardCharsets.UTF_8));
		return new LocalPeer(this.settings.instance().name(), incarnation, () -> "", key);
	}

	@Provides
	@Singleton
	PeerLinks links(LocalPeer self) {
		return PeerLinks.open(self, LinkSettings.DEFAULT, new WireEventLog(System::nanoTime));
	}

	@Provides
	@Singleton
	ControlClient controlClient(PeerLinks links, ControlPeers peers, LongSupplier clock) {
		return new PeerControlClient(links, peers, clock);
	}

	@Provides
	@Singleton
	Optional<ControlLoop> control(ControlPeers peers, PeerLinks links, LongSupplier clock) {
		return this.store.map((opened) -> controlLoop(opened, peers, links, clock));
	}

	private ControlLoop controlLoop(OpenStore opened, ControlPeers peers, PeerLinks links, LongSupplier clock) {
		try {
			return ControlRole.create(opened, peers, new PeerReplicaLinks(links, peers),
					this.settings.consensusTiming(), this.settings.controlTiming(),
					(int) this.settings.control().snapshotEvery(), clock);
		}
		catch (CodecException ex) {
			throw new IllegalStateException(
					"the stored snapshot is intact but can't be decoded; a newer program version may have written it",
					ex);
		}
	}

	@Provides
	@Singleton
	Optional<EntryRole> entry(ControlClient control, PeerLinks links, MetricRegistry metrics, LongSupplier clock) {
		return this.settings.hasRole(InstanceRole.ENTRY)
				? Optional.of(new EntryRole(this.settings, control, links, metrics, clock)) : Optional.empty();
	}

	@Provides
	@Singleton
	PeerServer peerServer(LocalPeer self, Optional<ControlLoop> control, Optional<EntryRole> entry) {
		DaemonPeerHandler handler = new DaemonPeerHandler(control, entry);
		try {
			return PeerServer.open(this.settings.listen().internal().socketAddress(), self, handler,
					ServerSettings.DEFAULT, new WireEventLog(System::nanoTime));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(
					"the internal port " + this.settings.listen().internal() + " can't be opened: " + ex.getMessage(),
					ex);
		}
	}

	@Provides
	@Singleton
	DaemonHealth health(Optional<ControlLoop> control, Optional<EntryRole> entry) {
		return new DaemonHealth(control, entry);
	}

	@Provides
	@Singleton
	OperatorHandler operators(ControlClient control) {
		ControlReader reader = new ControlReader(control);
		return new OperatorHandler(this.settings.operators(), new RecordsEndpoint(control, reader),
				new StatusEndpoint(reader), new ExplainEndpoint(reader), new WatchEndpoint(reader));
	}

	@Provides
	@Singleton
	List<Server> servers(OperatorHandler operators, DaemonHealth health, Optional<EntryRole> entry,
			MetricRegistry metrics) {
		List<Server> servers = new ArrayList<>();
		if (entry.isPresent() && this.settings.listen().callers().isPresent()) {
			servers.add(HttpServers.create("callers", this.settings.listen().callers().get(),
					this.settings.limits().maxConcurrentRequests(), entry.get().handler()));
		}
		HealthHandler state = new HealthHandler(health::healthy, health::ready, () -> PrometheusText.write(metrics));
		servers.add(HttpServers.create("operators", this.settings.listen().operators(), MAX_OPERATOR_REQUESTS,
				new Handler.Sequence(state, operators)));
		return servers;
	}

	@Provides
	@Singleton
	Daemon daemon(Optional<ControlLoop> control, Optional<EntryRole> entry, List<Server> servers, PeerServer peerServer,
			PeerLinks links, DaemonHealth health, LongSupplier clock) {
		return new Daemon(this.settings,
				new Daemon.DaemonParts(control, this.store.map(OpenStore::store), entry, servers, peerServer, links),
				health, clock);
	}

}
