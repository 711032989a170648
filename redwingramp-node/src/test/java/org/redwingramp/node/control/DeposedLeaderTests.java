package org.redwingramp.node.control;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.node.link.LinkMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against what a control replica sends between the end of its leadership and the
 * moment at which it notices.
 */
@Timeout(60)
class DeposedLeaderTests {

	private static final String LEADER = "127.0.0.11";

	@TempDir
	private Path folder;

	/**
	 * Guards against a view of the former leader in the term of the next one. An entry
	 * instance that applied it took the views of the next leader for old ones, until the
	 * number of these exceeded that of the former leader's.
	 */
	@Test
	void shouldNotSendAViewInATermInWhichItDoesNotLead() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, LEADER)) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			try (TestPeer peer = new TestPeer(control.peerAddress(LEADER))) {
				peer.send(new LinkMessage.ReplicaHello(new ReplicaId(LEADER, 1), false));
				ReplicaId leader = peer.await(LinkMessage.ReplicaHello.class).replica();
				peer.send(new LinkMessage.EntryHello("e", 0));
				long term = peer.await(LinkMessage.View.class).view().term();
				try (TestPeer next = new TestPeer(control.peerAddress(LEADER))) {
					next.send(new LinkMessage.Consensus(leader, new PeerMessage.AppendReply(term + 1, 0, false, 0)),
							new LinkMessage.EntryHello("f", 0));
					assertThat(next.await(LinkMessage.View.class).view().term()).isGreaterThan(term + 1);
				}
			}
		}
	}

}
