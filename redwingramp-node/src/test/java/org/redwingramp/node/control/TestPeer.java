package org.redwingramp.node.control;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.RecordCodec;

/**
 * The other end of a link to a control replica, with which a test sends any message.
 * Thread safe.
 */
final class TestPeer implements AutoCloseable {

	private static final int TIMEOUT_SECONDS = 10;

	private static final long REPORT_INTERVAL_MILLIS = 50;

	private static final RecordCodec<LinkMessage> CODEC = RecordCodec.of(LinkMessage.class);

	private final Socket socket = new Socket();

	private final BlockingQueue<LinkMessage> received = new LinkedBlockingQueue<>();

	private volatile Optional<FleetView> newestView = Optional.empty();

	TestPeer(InetSocketAddress replica) throws IOException {
		this.socket.connect(replica);
		Thread reader = new Thread(this::read, "test peer");
		reader.setDaemon(true);
		reader.start();
	}

	// Sends the messages in one segment, so that the replica handles them in one round of
	// its event loop.
	void send(LinkMessage... messages) throws IOException, CodecException {
		ByteBuffer buffer = ByteBuffer.allocate(64 * 1024);
		for (LinkMessage message : messages) {
			byte[] payload = CODEC.encode(message);
			buffer.putInt(payload.length).put(payload);
		}
		this.socket.getOutputStream().write(buffer.array(), 0, buffer.position());
	}

	// Waits for the next message of a kind; drops others.
	<T extends LinkMessage> T await(Class<T> kind) throws InterruptedException {
		while (true) {
			LinkMessage message = this.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			if (message == null) {
				throw new AssertionError("no " + kind.getSimpleName() + " within " + TIMEOUT_SECONDS + " s");
			}
			if (kind.isInstance(message)) {
				return kind.cast(message);
			}
		}
	}

	// Acts as an entry instance that reports at regular intervals until it is closed. It
	// acknowledges each view and states the same lag with each of them.
	void reportRegularly(String name, Optional<String> lag) throws IOException, CodecException {
		send(new LinkMessage.EntryHello(name, 0));
		Thread reporter = new Thread(() -> report(name, lag), "reports of test peer");
		reporter.setDaemon(true);
		reporter.start();
	}

	// Returns the view that was received last, if any.
	Optional<FleetView> newestView() {
		return this.newestView;
	}

	// Returns the messages of a kind that were received and not awaited.
	<T extends LinkMessage> List<T> received(Class<T> kind) {
		return this.received.stream().filter(kind::isInstance).map(kind::cast).toList();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	private void read() {
		try (DataInputStream in = new DataInputStream(this.socket.getInputStream())) {
			while (true) {
				byte[] message = new byte[in.readInt()];
				in.readFully(message);
				LinkMessage decoded = CODEC.decode(message);
				if (decoded instanceof LinkMessage.View update) {
					this.newestView = Optional.of(update.view());
				}
				this.received.add(decoded);
			}
		}
		catch (IOException | CodecException ex) {
			// The link has ended.
		}
	}

	private void report(String name, Optional<String> lag) {
		try {
			while (!this.socket.isClosed()) {
				Optional<FleetView> view = this.newestView;
				if (view.isPresent()) {
					send(new LinkMessage.Report(name, view.get().term(), view.get().sequence(),
							new EntryReport(List.of(), List.of(), List.of()), Optional.empty(), Optional.of(0L), lag));
				}
				Thread.sleep(REPORT_INTERVAL_MILLIS);
			}
		}
		catch (IOException | CodecException | InterruptedException ex) {
			// The link has ended.
		}
	}

}
