package org.redwingramp.node.loop;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A TCP connection of an event loop. What can't be written at once is kept and written
 * when the socket takes it. Not thread safe; it belongs to the loop's thread.
 */
public final class TcpConnection {

	/** How long a closed connection still reads, so that the last answer isn't reset. */
	private static final long LINGER_NANOS = 1_000_000_000L;

	private final EventLoop loop;

	private final Deque<ByteBuffer> output = new ArrayDeque<>();

	private TcpHandler handler;

	private SocketChannel channel;

	private SelectionKey key;

	private boolean connected;

	private boolean closed;

	private boolean closing;

	private long queuedBytes;

	private long writtenBytes;

	TcpConnection(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Writes bytes. They are kept until the connection is established and takes them.
	 * @param data the bytes, which must not change afterwards
	 */
	public void write(byte[] data) {
		if (this.closed || this.closing) {
			return;
		}
		this.output.add(ByteBuffer.wrap(data));
		this.queuedBytes += data.length;
		if (this.connected && this.output.size() == 1) {
			flush();
		}
	}

	/**
	 * Closes the connection at once. Unwritten bytes are lost.
	 */
	public void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.output.clear();
		this.queuedBytes = 0;
		if (this.channel != null) {
			try {
				this.channel.close();
			}
			catch (IOException ex) {
				// The descriptor is released all the same.
				this.connected = false;
			}
		}
	}

	/**
	 * Closes the connection once everything is written and the other side has closed, or
	 * after a second.
	 */
	public void closeAfterWrite() {
		if (!this.closing && !this.closed) {
			this.closing = true;
			this.loop.schedule(LINGER_NANOS, this::close);
			endOutputIfWritten();
		}
	}

	/**
	 * Returns whether the connection was closed by this side or has ended.
	 * @return whether it is closed
	 */
	public boolean closed() {
		return this.closed || this.closing;
	}

	/**
	 * Returns how many bytes wait to be written.
	 * @return the number of bytes
	 */
	public long queuedBytes() {
		return this.queuedBytes;
	}

	/**
	 * Returns how many bytes the socket has taken.
	 * @return the number of bytes
	 */
	public long writtenBytes() {
		return this.writtenBytes;
	}

	void handler(TcpHandler receiver) {
		this.handler = receiver;
	}

	void open(SocketChannel socket, SelectionKey selection, boolean established) {
		this.channel = socket;
		this.key = selection;
		this.connected = established;
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

	void ready(SelectionKey selection) {
		if (!selection.isValid() || this.closed) {
			return;
		}
		if (selection.isConnectable()) {
			connect();
		}
		if (selection.isValid() && selection.isWritable()) {
			flush();
		}
		if (selection.isValid() && selection.isReadable()) {
			read();
		}
	}

	private void connect() {
		try {
			this.channel.finishConnect();
			this.connected = true;
			this.key.interestOps(SelectionKey.OP_READ);
			this.handler.connected();
			flush();
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
			while (!this.output.isEmpty()) {
				ByteBuffer next = this.output.peek();
				int count = this.channel.write(next);
				this.writtenBytes += count;
				this.queuedBytes -= count;
				if (next.hasRemaining()) {
					this.key.interestOps(this.key.interestOps() | SelectionKey.OP_WRITE);
					return;
				}
				this.output.poll();
			}
			if ((this.key.interestOps() & SelectionKey.OP_WRITE) != 0) {
				this.key.interestOps(this.key.interestOps() & ~SelectionKey.OP_WRITE);
			}
			endOutputIfWritten();
		}
		catch (IOException ex) {
			this.loop.schedule(0, () -> fail(ex));
		}
	}

	private void endOutputIfWritten() {
		if (!this.closing || this.closed || !this.output.isEmpty()) {
			return;
		}
		try {
			this.channel.shutdownOutput();
		}
		catch (IOException ex) {
			close();
		}
	}

}
