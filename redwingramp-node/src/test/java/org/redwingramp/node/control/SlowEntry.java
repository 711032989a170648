package org.redwingramp.node.control;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.RecordCodec;

/**
 * An entry instance that receives at most 250 kB/s, like the slowest links of large
 * deployments, and acknowledges each view as soon as it has read it. Thread safe.
 */
final class SlowEntry implements AutoCloseable {

	private static final int BYTES_PER_SECOND = 250_000;

	private static final int CHUNK_BYTES = 4096;

	private static final RecordCodec<LinkMessage> CODEC = RecordCodec.of(LinkMessage.class);

	private final Map<Long, Long> configReadNanos = new ConcurrentHashMap<>();

	private final Socket socket = new Socket();

	private volatile long bytesRead;

	private volatile int views;

	SlowEntry(InetSocketAddress leader) throws IOException, CodecException {
		this.socket.setReceiveBufferSize(CHUNK_BYTES * 2);
		this.socket.connect(leader);
		send(new LinkMessage.EntryHello("slow", 0));
		Thread reader = new Thread(this::read, "slow entry");
		reader.setDaemon(true);
		reader.start();
	}

	// Returns the monotonic time at which a version of the configuration was read, or 0
	// if it hasn't been read.
	long configReadNanos(long version) {
		return this.configReadNanos.getOrDefault(version, 0L);
	}

	long bytesRead() {
		return this.bytesRead;
	}

	int views() {
		return this.views;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	private void read() {
		try (DataInputStream in = new DataInputStream(new ThrottledInputStream(this.socket.getInputStream()))) {
			while (true) {
				byte[] message = new byte[in.readInt()];
				in.readFully(message);
				this.bytesRead += message.length;
				if (CODEC.decode(message) instanceof LinkMessage.View update) {
					viewReceived(update.view());
				}
			}
		}
		catch (IOException | CodecException ex) {
			// The test has closed the connection.
		}
	}

	private void viewReceived(FleetView view) throws IOException, CodecException {
		this.views++;
		if (view.document().isPresent()) {
			this.configReadNanos.put(view.configVersion(), System.nanoTime());
		}
		send(new LinkMessage.Report("slow", view.term(), view.sequence(),
				new EntryReport(List.of(), List.of(), List.of()), Optional.empty(), Optional.empty(),
				Optional.empty()));
	}

	private void send(LinkMessage message) throws IOException, CodecException {
		byte[] payload = CODEC.encode(message);
		this.socket.getOutputStream()
			.write(ByteBuffer.allocate(Integer.BYTES + payload.length).putInt(payload.length).put(payload).array());
	}

	/**
	 * Limits the rate by a pause after each chunk.
	 */
	private static final class ThrottledInputStream extends InputStream {

		private final InputStream source;

		ThrottledInputStream(InputStream source) {
			this.source = source;
		}

		@Override
		public int read() throws IOException {
			return this.source.read();
		}

		@Override
		public int read(byte[] buffer, int offset, int length) throws IOException {
			int count = this.source.read(buffer, offset, Math.min(length, CHUNK_BYTES));
			try {
				Thread.sleep(Math.max(0, count) * 1000L / BYTES_PER_SECOND);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			return count;
		}

	}

}
