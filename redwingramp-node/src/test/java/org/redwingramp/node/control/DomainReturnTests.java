package org.redwingramp.node.control;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.node.link.LinkMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against cold targets that are flooded, or warm ones that are limited, because a
 * leader knows less of the return of a failure domain than a former one, or more than is
 * true.
 */
@Timeout(120)
class DomainReturnTests {

	private static final String REPLICA = "127.0.0.61";

	@TempDir
	private Path folder;

	/**
	 * Guards against a new leader that doesn't know of the return, and against targets
	 * that count as cold after a restart because the replica reads the log again.
	 */
	@Test
	void shouldKnowOfAReturnInTheNextTermAndNotAfterARestart() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, REPLICA)) {
			assertThat(control.call("replace 0 5 " + TextDialect.COLD)).startsWith("ACCEPTED");
			assertThat(control.call("heartbeat t-1")).startsWith("ACCEPTED");
			assertThat(control.call("out d")).startsWith("ACCEPTED");
			assertThat(control.call("in d")).startsWith("ACCEPTED");
			long term = depose(control);
			ViewTarget next = target(control, REPLICA, term + 1);
			assertThat(next.coldLeftMillis()).isGreaterThan(TextDialect.COLD_MILLIS / 2);
			assertThat(next.coldAssumed()).isFalse();
			control.stop(REPLICA);
			control.start(REPLICA, true);
			// What is assumed limits no target of which an entry instance knows better.
			assertThat(target(control, REPLICA, term + 2).coldAssumed()).isTrue();
		}
	}

	// Tells the leader of a later term, as another replica would. Returns its term.
	private static long depose(ControlFixture control) throws Exception {
		try (TestPeer peer = new TestPeer(control.peerAddress(REPLICA))) {
			peer.send(new LinkMessage.ReplicaHello(new ReplicaId(REPLICA, 1), false));
			ReplicaId leader = peer.await(LinkMessage.ReplicaHello.class).replica();
			peer.send(new LinkMessage.EntryHello("e", 0));
			long term = peer.await(LinkMessage.View.class).view().term();
			peer.send(new LinkMessage.Consensus(leader, new PeerMessage.AppendReply(term + 1, 0, false, 0)));
			peer.await(LinkMessage.LeaderInfo.class);
			return term;
		}
	}

	// Returns the target in the first view of a leader with the given term or a later
	// one.
	static ViewTarget target(ControlFixture control, String replica, long minTerm) throws Exception {
		control.leader();
		try (TestPeer peer = new TestPeer(control.peerAddress(replica))) {
			peer.send(new LinkMessage.EntryHello("e", 0));
			FleetView view = peer.await(LinkMessage.View.class).view();
			while (view.term() < minTerm || view.targets().isEmpty()) {
				view = peer.await(LinkMessage.View.class).view();
			}
			return view.targets().get(0);
		}
	}

}
