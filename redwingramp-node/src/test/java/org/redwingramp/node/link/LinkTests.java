package org.redwingramp.node.link;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

import org.redwingramp.node.loop.LoopExtension;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/** Guards against messages that are handled again, or never. */
@Timeout(20)
class LinkTests {

	@RegisterExtension
	final LoopExtension loops = new LoopExtension();

	private final List<LinkMessage> received = new CopyOnWriteArrayList<>();

	/**
	 * Guards against a link that receives its messages again after the receiver of one of
	 * them failed unexpectedly.
	 */
	@Test
	void shouldCloseWhenTheReceiverOfAMessageFails() throws Exception {
		LinkMessage first = new LinkMessage.EntryHello("first", 1);
		try (Socket peer = connect()) {
			peer.getOutputStream().write(Link.encode(first));
			assertThatExceptionOfType(SocketException.class).isThrownBy(peer.getInputStream()::read);
		}
		assertThat(this.received).containsExactly(first);
	}

	// Opens a connection to a link whose receiver fails at each message.
	private Socket connect() throws Exception {
		CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
		this.loops.loop().post(() -> {
			try {
				address.complete((InetSocketAddress) this.loops.loop()
					.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
							(tcp) -> Link.accepted(tcp, this::fail, (closed) -> {
							}))
					.getLocalAddress());
			}
			catch (Exception ex) {
				address.completeExceptionally(ex);
			}
		});
		Socket socket = new Socket(address.get().getAddress(), address.get().getPort());
		socket.setSoTimeout(5000);
		return socket;
	}

	private void fail(Link link, LinkMessage message) {
		this.received.add(message);
		throw new IllegalStateException("fails on purpose");
	}

}
