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
 * Thrift's framed transport over a socket channel. Unlike the implementation in the
 * Thrift library, it allocates memory only as bytes arrive, raises the frame size limit
 * when the peer is authenticated, and supports a deadline.
 *
 * <p>
 * Invariant: beyond an initial buffer of at most 64 KiB, the read buffer is never larger
 * than twice the bytes received or than the frame size limit. Only one thread may read
 * and write; {@link #close}, {@link #closeAfter}, {@link #clearDeadline} and
 * {@link #closeIfTimedOut} are thread safe.
 */
public final class FrameTransport extends TEndpointTransport {

	private static final int HEADER_BYTES = 4;

	/**
	 * The maximum number of bytes per system call, since the JDK caches a direct buffer
	 * of that size per thread.
	 */
	private static final int MAX_IO_BYTES = 64 * 1024;

	private static final int INITIAL_BUFFER_BYTES = 4 * 1024;

	private static final long NO_DEADLINE = Long.MAX_VALUE;

	private final SocketChannel channel;

	private final String address;

	private final Runnable onClose;

	private final ConnectionWatch watch;

	private final AtomicBoolean closed = new AtomicBoolean();

	private final ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);

	private byte[] readBuffer = new byte[INITIAL_BUFFER_BYTES];

	private int position;

	private int limit;

	private byte[] writeBuffer = new byte[INITIAL_BUFFER_BYTES];

	private int writeLength = HEADER_BYTES;

	// Held while the channel is in non-blocking mode, so that it is not closed meanwhile.
	private final Object blockingModeLock = new Object();

	private volatile int maxFrameBytes;

	private volatile long deadline = NO_DEADLINE;

	private volatile boolean timedOut;

	private volatile boolean oversized;

	private boolean mayHaveBeenSent;

	private long maxFrameNanos;

	/**
	 * Creates a transport over an open channel.
	 * @param channel the channel, in blocking mode
	 * @param maxFrameBytes the maximum size of a received frame until the limits are
	 * raised
	 * @param watch closes the transport when its deadline has passed
	 * @param onClose invoked once, when the transport is closed
	 * @throws IOException if the channel is closed
	 * @throws TTransportException declared by the superclass, never thrown
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
	 * Returns the peer's address.
	 * @return the address as {@code ip:port}
	 */
	public String address() {
		return this.address;
	}

	/**
	 * Raises the limits after the peer was authenticated.
	 * @param newMaxFrameBytes the maximum size of a received frame in bytes
	 * @param frameNanos the time within which a frame must be received or sent
	 * completely, or 0 to leave the deadline unchanged
	 */
	void raiseLimits(int newMaxFrameBytes, long frameNanos) {
		this.maxFrameBytes = newMaxFrameBytes;
		this.maxFrameNanos = frameNanos;
	}

	/**
	 * Sets the deadline at which the transport is closed.
	 * @param nanos the time from now in nanoseconds
	 */
	public void closeAfter(long nanos) {
		this.deadline = System.nanoTime() + nanos;
	}

	/** Removes the deadline. */
	public void clearDeadline() {
		this.deadline = NO_DEADLINE;
	}

	void closeIfTimedOut(long now) {
		long end = this.deadline;
		if (end != NO_DEADLINE && now - end > 0) {
			this.timedOut = true;
			close();
		}
	}

	/**
	 * Returns whether the transport was closed because its deadline had passed.
	 * @return whether it timed out
	 */
	public boolean timedOut() {
		return this.timedOut;
	}

	/**
	 * Returns whether a frame with a size over the limit was received.
	 * @return whether a frame was too large
	 */
	public boolean oversized() {
		return this.oversized;
	}

	/**
	 * Returns whether the latest frame may have been sent completely. The peer does not
	 * process a frame without its last byte.
	 * @return whether the peer may process the frame
	 */
	public boolean mayHaveBeenSent() {
		return this.mayHaveBeenSent;
	}

	/** Starts a new frame, to which {@link #mayHaveBeenSent} then refers. */
	public void beginFrame() {
		this.mayHaveBeenSent = false;
		this.writeLength = HEADER_BYTES;
	}

	/**
	 * Checks without blocking whether data are available or the peer closed the
	 * connection.
	 * @return the result of the check
	 */
	public PollResult poll() {
		if (this.header.position() > 0 || this.position < this.limit) {
			return PollResult.DATA;
		}
		try {
			int count = readNonBlocking();
			return (count > 0) ? PollResult.DATA : ((count == 0) ? PollResult.NO_DATA : PollResult.END_OF_STREAM);
		}
		catch (IOException ex) {
			return PollResult.END_OF_STREAM;
		}
	}

	private int readNonBlocking() throws IOException {
		synchronized (this.blockingModeLock) {
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
		// The channel is already open.
	}

	@Override
	public void close() {
		if (this.closed.compareAndSet(false, true)) {
			this.watch.remove(this);
			try {
				closeChannel();
			}
			catch (IOException ex) {
				// The connection can't be used any more even if closing fails.
			}
			this.onClose.run();
		}
	}

	// Closing a channel in non-blocking mode waits for the thread that reads from it, and
	// an interrupted reader waits for the close: a deadlock that the lock prevents.
	private void closeChannel() throws IOException {
		synchronized (this.blockingModeLock) {
			this.channel.close();
		}
	}

	@Override
	public int read(byte[] target, int offset, int length) throws TTransportException {
		if (this.position == this.limit) {
			readFrame();
		}
		int count = Math.min(length, this.limit - this.position);
		System.arraycopy(this.readBuffer, this.position, target, offset, count);
		this.position += count;
		return count;
	}

	@Override
	public byte[] getBuffer() {
		return this.readBuffer;
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
			throw new TTransportException(TTransportException.CORRUPTED_DATA, "A length must not exceed the remaining "
					+ getBytesRemainingInBuffer() + " bytes of the frame (was " + count + ")");
		}
	}

	/** Releases the buffer of a large frame that is no longer in use. */
	public void releaseLargeBuffer() {
		if (this.readBuffer.length > MAX_IO_BYTES) {
			this.readBuffer = new byte[INITIAL_BUFFER_BYTES];
			this.position = 0;
			this.limit = 0;
		}
	}

	private void readFrame() throws TTransportException {
		releaseLargeBuffer();
		try {
			readFully(this.header);
			int length = this.header.getInt(0);
			this.header.clear();
			if (length <= 0 || length > this.maxFrameBytes) {
				this.oversized = length > this.maxFrameBytes;
				throw new TTransportException(TTransportException.CORRUPTED_DATA,
						"A frame must have 1 to " + this.maxFrameBytes + " bytes (was " + length + ")");
			}
			startFrameDeadline();
			readBody(length);
			if (this.maxFrameNanos > 0) {
				clearDeadline();
			}
		}
		catch (IOException ex) {
			close();
			throw new TTransportException(TTransportException.END_OF_FILE, ex);
		}
	}

	private void startFrameDeadline() {
		if (this.maxFrameNanos > 0) {
			closeAfter(this.maxFrameNanos);
		}
	}

	private void readBody(int length) throws IOException {
		if (this.readBuffer.length < Math.min(length, MAX_IO_BYTES)) {
			this.readBuffer = new byte[Math.min(length, MAX_IO_BYTES)];
		}
		int received = 0;
		while (received < length) {
			if (received == this.readBuffer.length) {
				this.readBuffer = Arrays.copyOf(this.readBuffer, (int) Math.min(length, 2L * received));
			}
			int chunk = Math.min(MAX_IO_BYTES, Math.min(length, this.readBuffer.length) - received);
			readFully(ByteBuffer.wrap(this.readBuffer, received, chunk));
			received += chunk;
		}
		this.position = 0;
		this.limit = length;
	}

	private void readFully(ByteBuffer target) throws IOException {
		while (target.hasRemaining()) {
			if (this.channel.read(target) < 0) {
				throw new IOException(this.address + " closed the connection");
			}
		}
	}

	@Override
	public void write(byte[] source, int offset, int length) {
		if (this.writeBuffer.length - this.writeLength < length) {
			this.writeBuffer = Arrays.copyOf(this.writeBuffer,
					Math.max(2 * this.writeBuffer.length, this.writeLength + length));
		}
		System.arraycopy(source, offset, this.writeBuffer, this.writeLength, length);
		this.writeLength += length;
	}

	@Override
	public void flush() throws TTransportException {
		int end = this.writeLength;
		ByteBuffer data = ByteBuffer.wrap(this.writeBuffer, 0, end).putInt(0, end - HEADER_BYTES);
		this.writeLength = HEADER_BYTES;
		this.mayHaveBeenSent = false;
		startFrameDeadline();
		try {
			while (data.position() < end) {
				data.limit(Math.min(end, data.position() + MAX_IO_BYTES));
				this.mayHaveBeenSent = data.limit() == end;
				this.channel.write(data);
			}
		}
		catch (IOException ex) {
			close();
			throw new TTransportException(TTransportException.NOT_OPEN, ex);
		}
		if (this.writeBuffer.length > MAX_IO_BYTES) {
			this.writeBuffer = new byte[INITIAL_BUFFER_BYTES];
		}
	}

	/** The result of {@link #poll}. */
	public enum PollResult {

		/** No data are available. */
		NO_DATA,

		/** At least a part of a frame is available. */
		DATA,

		/** The connection was closed or has failed. */
		END_OF_STREAM

	}

}
