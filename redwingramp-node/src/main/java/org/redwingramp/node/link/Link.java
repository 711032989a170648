package org.redwingramp.node.link;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.node.loop.TcpConnection;
import org.redwingramp.node.loop.TcpHandler;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.RecordCodec;

/**
 * Exchanges length-prefixed messages with another process of the fleet over a TCP
 * connection. Invariant: a message that can't be decoded, or whose receiver fails, closes
 * the link, so that each message is received once at most. Not thread safe; it is
 * confined to the event loop's thread.
 */
public final class Link implements TcpHandler {

	static final RecordCodec<LinkMessage> CODEC = RecordCodec.of(LinkMessage.class);

	private static final int LENGTH_PREFIX_BYTES = Integer.BYTES;

	/**
	 * Bounds the memory used by a peer that doesn't read: a send closes the link if more
	 * bytes than this are queued.
	 */
	private static final long MAX_QUEUED_BYTES = 8L * 1024 * 1024;

	private final TcpConnection tcp;

	private final BiConsumer<Link, LinkMessage> receiver;

	private final Consumer<Link> closeListener;

	private Runnable connectedAction = () -> {
	};

	private ByteBuffer input = ByteBuffer.allocate(4096);

	private long lastReceivedNanos = System.nanoTime();

	private boolean closed;

	private Link(TcpConnection tcp, BiConsumer<Link, LinkMessage> receiver, Consumer<Link> closeListener) {
		this.tcp = tcp;
		this.receiver = receiver;
		this.closeListener = closeListener;
		// Messages state what holds when they are sent, so none may arrive much later.
		tcp.discardUnsentOnClose();
	}

	/**
	 * Opens a link to another process.
	 * @param loop the event loop
	 * @param address the address of the other process
	 * @param receiver receives its messages
	 * @param closeListener called once when the link is closed
	 * @return the link
	 */
	public static Link open(EventLoop loop, InetSocketAddress address, BiConsumer<Link, LinkMessage> receiver,
			Consumer<Link> closeListener) {
		Link[] holder = new Link[1];
		loop.connect(address, (tcp) -> {
			holder[0] = new Link(tcp, receiver, closeListener);
			return holder[0];
		});
		return holder[0];
	}

	/**
	 * Creates the link of an accepted connection.
	 * @param tcp the connection
	 * @param receiver receives the messages
	 * @param closeListener called once when the link is closed
	 * @return the link
	 */
	public static Link accepted(TcpConnection tcp, BiConsumer<Link, LinkMessage> receiver,
			Consumer<Link> closeListener) {
		return new Link(tcp, receiver, closeListener);
	}

	/**
	 * Sends a message. The link is closed if too many bytes are queued already.
	 * @param message the message
	 */
	public void send(LinkMessage message) {
		send(encode(message));
	}

	/**
	 * Sends an encoded message, so that a message to several links is encoded only once.
	 * @param message the message from {@link #encode}
	 */
	public void send(byte[] message) {
		if (this.closed) {
			return;
		}
		if (this.tcp.queuedBytes() > MAX_QUEUED_BYTES) {
			close();
			return;
		}
		this.tcp.write(message);
	}

	/**
	 * Returns when bytes were last received.
	 * @return the monotonic time in nanoseconds
	 */
	public long lastReceivedNanos() {
		return this.lastReceivedNanos;
	}

	/**
	 * Returns how many bytes are queued for writing.
	 * @return the number of bytes
	 */
	public long queuedBytes() {
		return this.tcp.queuedBytes();
	}

	/**
	 * Closes the link.
	 */
	public void close() {
		if (!this.closed) {
			this.closed = true;
			this.tcp.close();
			this.closeListener.accept(this);
		}
	}

	/**
	 * Returns whether the link is closed.
	 * @return whether it is closed
	 */
	public boolean closed() {
		return this.closed;
	}

	/**
	 * Sets the action that runs when the link is established.
	 * @param action the action
	 */
	public void onConnected(Runnable action) {
		this.connectedAction = action;
	}

	@Override
	public void connected() {
		this.lastReceivedNanos = System.nanoTime();
		this.connectedAction.run();
	}

	@Override
	public void received(ByteBuffer data) {
		this.lastReceivedNanos = System.nanoTime();
		ensureInputCapacity(data.remaining());
		this.input.put(data);
		this.input.flip();
		try {
			readMessages();
		}
		catch (CodecException ex) {
			close();
		}
		catch (RuntimeException ex) {
			// The input is at an unknown position, and what was read may be read again.
			close();
			throw ex;
		}
		if (!this.closed) {
			this.input.compact();
		}
	}

	@Override
	public void endOfStream() {
		close();
	}

	@Override
	public void failed(Exception cause) {
		close();
	}

	private void readMessages() throws CodecException {
		while (!this.closed && this.input.remaining() >= LENGTH_PREFIX_BYTES) {
			int length = this.input.getInt(this.input.position());
			if (length < 0 || length > RecordCodec.DEFAULT_MAX_BYTES) {
				throw new CodecException("Message length must be between 0 and " + RecordCodec.DEFAULT_MAX_BYTES
						+ " bytes (was " + length + ")", null);
			}
			if (this.input.remaining() < LENGTH_PREFIX_BYTES + length) {
				return;
			}
			byte[] message = new byte[length];
			this.input.getInt();
			this.input.get(message);
			this.receiver.accept(this, CODEC.decode(message));
		}
	}

	private void ensureInputCapacity(int bytes) {
		if (this.input.remaining() < bytes) {
			ByteBuffer larger = ByteBuffer.allocate((this.input.position() + bytes) * 2);
			larger.put(this.input.flip());
			this.input = larger;
		}
	}

	/**
	 * Encodes a message for {@link #send(byte[])}.
	 * @param message the message
	 * @return the length-prefixed bytes, which must not be modified
	 */
	public static byte[] encode(LinkMessage message) {
		try {
			byte[] payload = CODEC.encode(message);
			return ByteBuffer.allocate(LENGTH_PREFIX_BYTES + payload.length)
				.putInt(payload.length)
				.put(payload)
				.array();
		}
		catch (CodecException ex) {
			throw new IllegalStateException("Can't encode a link message of type " + message.getClass().getSimpleName(),
					ex);
		}
	}

}
