package org.redwingramp.node.loop;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A non-blocking TCP connection of an event loop. Bytes that the socket doesn't accept at
 * once are queued and written when it becomes writable. Not thread safe; it is confined
 * to the event loop's thread.
 */
public final class TcpConnection {

	/**
	 * How long a connection that is being closed still reads. Closing it with unread
	 * input would send a reset, which could discard the last response.
	 */
	private static final long LINGER_NANOS = 1_000_000_000L;

	/**
	 * Maximum number of bytes that one system call writes. The runtime copies them to a
	 * buffer outside the heap.
	 */
	private static final int MAX_WRITE_BYTES = 128 * 1024;

	/** Turns the socket option SO_LINGER off. */
	private static final int NO_LINGER = -1;

	private final EventLoop loop;

	private final Deque<ByteBuffer> writeQueue = new ArrayDeque<>();

	private TcpHandler handler;

	private SocketChannel channel;

	private SelectionKey key;

	private boolean connected;

	private boolean closed;

	private boolean closing;

	private boolean writesEnded;

	private boolean discardsUnsent;

	private long queuedBytes;

	private long writtenBytes;

	TcpConnection(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Writes bytes. They are queued until the connection is established and accepts them.
	 * @param data the bytes, which must not change afterwards
	 */
	public void write(byte[] data) {
		if (this.closed || this.closing) {
			return;
		}
		this.writeQueue.add(ByteBuffer.wrap(data));
		this.queuedBytes += data.length;
		if (this.connected && this.writeQueue.size() == 1) {
			flush();
		}
	}

	/**
	 * Makes the connection discard what the peer hasn't received when it is closed or its
	 * process ends. Otherwise the operating system sends these bytes for minutes, also
	 * after a partition in which the peer couldn't be reached.
	 */
	public void discardUnsentOnClose() {
		this.discardsUnsent = true;
		if (this.channel != null) {
			setLinger(0);
		}
	}

	/**
	 * Closes the connection at once in the orderly way, since the peer owes nothing more.
	 */
	public void closeOrderly() {
		if (this.channel != null && !this.closed && this.discardsUnsent) {
			setLinger(NO_LINGER);
		}
		close();
	}

	/**
	 * Closes the connection at once. Queued bytes are discarded.
	 */
	public void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.writeQueue.clear();
		this.queuedBytes = 0;
		endWrites();
		if (this.channel != null) {
			try {
				this.channel.close();
			}
			catch (IOException ex) {
				// The file descriptor is released even if close() fails.
				this.connected = false;
			}
		}
	}

	/**
	 * Passes on bytes that have arrived but that the event loop hasn't read yet.
	 */
	public void readAvailable() {
		if (this.connected && !closed()) {
			read();
		}
	}

	/**
	 * Closes the connection once all queued bytes are written and the peer has closed its
	 * side, or once the peer has taken no more bytes for a second.
	 */
	public void closeAfterWrite() {
		if (!this.closing && !this.closed) {
			this.closing = true;
			closeUnlessWriting(this.queuedBytes);
			shutdownOutputIfFlushed();
		}
	}

	private void closeUnlessWriting(long queuedBefore) {
		this.loop.schedule(LINGER_NANOS, () -> {
			if (this.queuedBytes > 0 && this.queuedBytes < queuedBefore) {
				closeUnlessWriting(this.queuedBytes);
			}
			else {
				close();
			}
		});
	}

	/**
	 * Closes the connection like {@link #closeAfterWrite()}, but doesn't read the bytes
	 * that arrive meanwhile.
	 */
	public void closeWithoutReading() {
		if (this.key != null && this.key.isValid()) {
			this.key.interestOps(this.key.interestOps() & ~SelectionKey.OP_READ);
		}
		closeAfterWrite();
	}

	/**
	 * Returns whether the connection is closed or being closed.
	 * @return whether it is closed or being closed
	 */
	public boolean closed() {
		return this.closed || this.closing;
	}

	/**
	 * Returns how many bytes are queued for writing.
	 * @return the number of bytes
	 */
	public long queuedBytes() {
		return this.queuedBytes;
	}

	/**
	 * Returns how many bytes were written to the socket.
	 * @return the number of bytes
	 */
	public long writtenBytes() {
		return this.writtenBytes;
	}

	void handler(TcpHandler receiver) {
		this.handler = receiver;
	}

	void attach(SocketChannel socket, SelectionKey selection, boolean established) {
		this.channel = socket;
		this.key = selection;
		this.connected = established;
		if (this.discardsUnsent) {
			setLinger(0);
		}
		if (this.closed) {
			this.closed = false;
			close();
		}
	}

	void fail(IOException cause) {
		if (!this.closed) {
			close();
			this.handler.failed(cause);
		}
	}

	void handleReady(SelectionKey selection) {
		if (!selection.isValid() || this.closed) {
			return;
		}
		if (selection.isConnectable()) {
			finishConnecting();
		}
		if (selection.isValid() && selection.isWritable()) {
			flush();
		}
		if (selection.isValid() && selection.isReadable()) {
			read();
		}
	}

	private void setLinger(int seconds) {
		try {
			this.channel.setOption(StandardSocketOptions.SO_LINGER, seconds);
		}
		catch (IOException ex) {
			this.loop.schedule(0, () -> fail(ex));
		}
	}

	private void finishConnecting() {
		try {
			this.channel.finishConnect();
			this.connected = true;
			this.key.interestOps(SelectionKey.OP_READ);
			this.handler.connected();
			if (this.key.isValid()) {
				flush();
			}
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private void read() {
		ByteBuffer buffer = this.loop.readBuffer();
		int count;
		try {
			count = this.channel.read(buffer);
		}
		catch (IOException ex) {
			fail(ex);
			return;
		}
		if (count < 0) {
			this.key.interestOps(this.key.interestOps() & ~SelectionKey.OP_READ);
			if (this.closing) {
				close();
			}
			else {
				this.handler.endOfStream();
			}
		}
		else if (count > 0 && !this.closing) {
			this.handler.received(buffer.flip());
		}
	}

	private void flush() {
		try {
			while (!this.writeQueue.isEmpty()) {
				ByteBuffer next = this.writeQueue.peek();
				int offered = Math.min(next.remaining(), MAX_WRITE_BYTES);
				int count = this.channel.write(next.slice(next.position(), offered));
				next.position(next.position() + count);
				this.writtenBytes += count;
				this.queuedBytes -= count;
				if (count < offered) {
					this.key.interestOps(this.key.interestOps() | SelectionKey.OP_WRITE);
					return;
				}
				if (!next.hasRemaining()) {
					this.writeQueue.poll();
				}
			}
			if ((this.key.interestOps() & SelectionKey.OP_WRITE) != 0) {
				this.key.interestOps(this.key.interestOps() & ~SelectionKey.OP_WRITE);
			}
			shutdownOutputIfFlushed();
		}
		catch (IOException ex) {
			this.loop.schedule(0, () -> fail(ex));
		}
	}

	private void endWrites() {
		if (this.closing && !this.writesEnded) {
			this.writesEnded = true;
			this.handler.writesEnded();
		}
	}

	private void shutdownOutputIfFlushed() {
		if (!this.closing || this.closed || !this.writeQueue.isEmpty()) {
			return;
		}
		endWrites();
		try {
			this.channel.shutdownOutput();
		}
		catch (IOException ex) {
			close();
		}
	}

}
