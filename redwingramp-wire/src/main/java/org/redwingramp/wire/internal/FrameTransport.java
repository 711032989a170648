package org.redwingramp.wire.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.transport.TEndpointTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Thrift's framed transport over a socket channel. Unlike the library's, it allocates
 * memory only as bytes arrive, has a limit that is raised once the peer is authenticated,
 * and a deadline.
 *
 * <p>
 * Invariants: never holds more than twice the bytes that were received, and never more
 * than the limit. One thread reads and writes; {@link #close}, {@link #deadline} and
 * {@link #closeIfOverdue} are thread safe.
 */
public final class FrameTransport extends TEndpointTransport {

	private static final int HEADER_BYTES = 4;

	/**
	 * One system call's worth; the JDK caches a direct buffer of this size per thread.
	 */
	private static final int CHUNK_BYTES = 64 * 1024;

	private static final int INITIAL_BYTES = 4 * 1024;

	private static final long NO_DEADLINE = Long.MAX_VALUE;

	private final SocketChannel channel;

	private final String address;

	private final Runnable onClose;

	private final ConnectionWatch watch;

	private final AtomicBoolean closed = new AtomicBoolean();

	private final ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);

	private byte[] in = new byte[INITIAL_BYTES];

	private int position;

	private int limit;

	private byte[] out = new byte[INITIAL_BYTES];

	private int outLength = HEADER_BYTES;

	// Held while the channel is in non-blocking mode, so that it is never closed in it.
	private final Object mode = new Object();

	private volatile int maxFrameBytes;

	private volatile long deadline = NO_DEADLINE;

	private volatile boolean overdue;

	private volatile boolean oversized;

	private boolean handedOver;

	private long frameNanos;

	/**
	 * Creates a transport over an open channel.
	 * @param channel the channel, in blocking mode
	 * @param maxFrameBytes the largest frame accepted for now
	 * @param watch closes the transport when its deadline passes
	 * @param onClose invoked once when the transport is closed
	 * @throws IOException if the channel is closed
	 * @throws TTransportException never
	 */
	public FrameTransport(SocketChannel channel, int maxFrameBytes, ConnectionWatch watch, Runnable onClose)
			throws IOException, TTransportException {
		super(new TConfiguration());
		this.channel = channel;
		this.maxFrameBytes = maxFrameBytes;
		this.watch = watch;
		this.onClose = onClose;
		channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
		InetSocketAddress remote = (InetSocketAddress) channel.getRemoteAddress();
		this.address = remote.getAddress().getHostAddress() + ":" + remote.getPort();
		watch.add(this);
	}

	/**
	 * Returns the other end.
	 * @return the address as {@code ip:port}
	 */
	public String address() {
		return this.address;
	}

	/**
	 * Raises the limits once the peer is authenticated.
	 * @param maxBytes the largest accepted frame
	 * @param frameTimeNanos the time in which a frame must arrive or leave as a whole, 0
	 * to leave the deadline alone
	 */
	void trust(int maxBytes, long frameTimeNanos) {
		this.maxFrameBytes = maxBytes;
		this.frameNanos = frameTimeNanos;
	}

	/**
	 * Sets when the transport is closed.
	 * @param nanos the time from now in nanoseconds
	 */
	public void deadline(long nanos) {
		this.deadline = System.nanoTime() + nanos;
	}

	/** Lets the transport stay open. */
	public void noDeadline() {
		this.deadline = NO_DEADLINE;
	}

	void closeIfOverdue(long now) {
		long end = this.deadline;
		if (end != NO_DEADLINE && now - end > 0) {
			this.overdue = true;
			close();
		}
	}

	/**
	 * Returns whether the transport was closed because its deadline passed.
	 * @return whether it was overdue
	 */
	public boolean overdue() {
		return this.overdue;
	}

	/**
	 * Returns whether the transport was closed because of a frame's size.
	 * @return whether a frame was too large
	 */
	public boolean oversized() {
		return this.oversized;
	}

	/**
	 * Returns whether the last byte of the latest frame may have been sent. A frame
	 * without its last byte is never processed.
	 * @return whether the frame may be processed by the peer
	 */
	public boolean handedOver() {
		return this.handedOver;
	}

	/** Prepares for a new frame, so that {@link #handedOver} speaks of no earlier one. */
	public void beginFrame() {
		this.handedOver = false;
		this.outLength = HEADER_BYTES;
	}

	/**
	 * Finds out without waiting whether the peer sent something or closed the connection.
	 * @return what was found
	 */
	public Arrival poll() {
		if (this.header.position() > 0 || this.position < this.limit) {
			return Arrival.BYTES;
		}
		try {
			int count = readWithoutWaiting();
			return (count > 0) ? Arrival.BYTES : ((count == 0) ? Arrival.NOTHING : Arrival.END);
		}
		catch (IOException ex) {
			return Arrival.END;
		}
	}

	private int readWithoutWaiting() throws IOException {
		synchronized (this.mode) {
			this.channel.configureBlocking(false);
			int count = this.channel.read(this.header);
			this.channel.configureBlocking(true);
			return count;
		}
	}

	@Override
	public boolean isOpen() {
		return !this.closed.get();
	}

	@Override
	public void open() {
		// The channel is open from the start.
	}

	@Override
	public void close() {
		if (this.closed.compareAndSet(false, true)) {
			this.watch.remove(this);
			try {
				closeChannel();
			}
			catch (IOException ex) {
				// The connection is unusable either way.
			}
			this.onClose.run();
		}
	}

	// Closing a channel in non-blocking mode waits for its reader, which waits for the
	// close if it is interrupted meanwhile.
	private void closeChannel() throws IOException {
		synchronized (this.mode) {
			this.channel.close();
		}
	}

	@Override
	public int read(byte[] target, int offset, int length) throws TTransportException {
		if (this.position == this.limit) {
			readFrame();
		}
		int count = Math.min(length, this.limit - this.position);
		System.arraycopy(this.in, this.position, target, offset, count);
		this.position += count;
		return count;
	}

	@Override
	public byte[] getBuffer() {
		return this.in;
	}

	@Override
	public int getBufferPosition() {
		return this.position;
	}

	@Override
	public int getBytesRemainingInBuffer() {
		return this.limit - this.position;
	}

	@Override
	public void consumeBuffer(int length) {
		this.position += length;
	}

	@Override
	public void checkReadBytesAvailable(long count) throws TTransportException {
		if (count < 0 || count > this.limit - this.position) {
			throw new TTransportException(TTransportException.CORRUPTED_DATA,
					"A length of " + count + " is beyond the frame's end");
		}
	}

	/** Lets go of the memory of a large frame that is no longer in use. */
	public void release() {
		if (this.in.length > CHUNK_BYTES) {
			this.in = new byte[INITIAL_BYTES];
			this.position = 0;
			this.limit = 0;
		}
	}

	private void readFrame() throws TTransportException {
		release();
		try {
			fill(this.header);
			int length = this.header.getInt(0);
			this.header.clear();
			if (length <= 0 || length > this.maxFrameBytes) {
				this.oversized = length > this.maxFrameBytes;
				throw new TTransportException(TTransportException.CORRUPTED_DATA,
						"A frame of " + length + " bytes is not within 1 and " + this.maxFrameBytes);
			}
			limitFrameTime();
			readBody(length);
			if (this.frameNanos > 0) {
				noDeadline();
			}
		}
		catch (IOException ex) {
			close();
			throw new TTransportException(TTransportException.END_OF_FILE, ex);
		}
	}

	private void limitFrameTime() {
		if (this.frameNanos > 0) {
			deadline(this.frameNanos);
		}
	}

	private void readBody(int length) throws IOException {
		if (this.in.length < Math.min(length, CHUNK_BYTES)) {
			this.in = new byte[Math.min(length, CHUNK_BYTES)];
		}
		int received = 0;
		while (received < length) {
			if (received == this.in.length) {
				this.in = Arrays.copyOf(this.in, (int) Math.min(length, 2L * received));
			}
			int chunk = Math.min(CHUNK_BYTES, Math.min(length, this.in.length) - received);
			fill(ByteBuffer.wrap(this.in, received, chunk));
			received += chunk;
		}
		this.position = 0;
		this.limit = length;
	}

	private void fill(ByteBuffer target) throws IOException {
		while (target.hasRemaining()) {
			if (this.channel.read(target) < 0) {
				throw new IOException("The peer closed the connection");
			}
		}
	}

	@Override
	public void write(byte[] source, int offset, int length) {
		if (this.out.length - this.outLength < length) {
			this.out = Arrays.copyOf(this.out, Math.max(2 * this.out.length, this.outLength + length));
		}
		System.arraycopy(source, offset, this.out, this.outLength, length);
		this.outLength += length;
	}

	@Override
	public void flush() throws TTransportException {
		int end = this.outLength;
		ByteBuffer data = ByteBuffer.wrap(this.out, 0, end).putInt(0, end - HEADER_BYTES);
		this.outLength = HEADER_BYTES;
		this.handedOver = false;
		limitFrameTime();
		try {
			while (data.position() < end) {
				data.limit(Math.min(end, data.position() + CHUNK_BYTES));
				this.handedOver = data.limit() == end;
				this.channel.write(data);
			}
		}
		catch (IOException ex) {
			close();
			throw new TTransportException(TTransportException.NOT_OPEN, ex);
		}
		if (this.out.length > CHUNK_BYTES) {
			this.out = new byte[INITIAL_BYTES];
		}
	}

	/** What arrived on a connection. */
	public enum Arrival {

		/** Nothing yet. */
		NOTHING,

		/** At least a part of a frame. */
		BYTES,

		/** The connection has ended. */
		END

	}

}
