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
 * Messages over one TCP connection, each with its length in front. Invariant: a message
 * that can't be read ends the link. Not thread safe; it belongs to the loop's thread.
 */
public final class Link implements TcpHandler {

	static final RecordCodec<LinkMessage> CODEC = RecordCodec.of(LinkMessage.class);

	private static final int LENGTH_BYTES = Integer.BYTES;

	/** A peer that reads nothing is cut off once this much waits for it. */
	private static final long MAX_QUEUED_BYTES = 8L * 1024 * 1024;

	private final TcpConnection tcp;

	private final BiConsumer<Link, LinkMessage> receiver;

	private final Consumer<Link> ended;

	private Runnable whenConnected = () -> {
	};

	private ByteBuffer input = ByteBuffer.allocate(4096);

	private long heardNanos = System.nanoTime();

	private boolean over;

	private Link(TcpConnection tcp, BiConsumer<Link, LinkMessage> receiver, Consumer<Link> ended) {
		this.tcp = tcp;
		this.receiver = receiver;
		this.ended = ended;
	}

	/**
	 * Opens a link.
	 * @param loop the event loop
	 * @param address the other process
	 * @param receiver hears its messages
	 * @param ended hears once that the link has ended
	 * @return the link
	 */
	public static Link open(EventLoop loop, InetSocketAddress address, BiConsumer<Link, LinkMessage> receiver,
			Consumer<Link> ended) {
		Link[] holder = new Link[1];
		loop.connect(address, (tcp) -> {
			holder[0] = new Link(tcp, receiver, ended);
			return holder[0];
		});
		return holder[0];
	}

	/**
	 * Creates the handler of an accepted connection.
	 * @param tcp the connection
	 * @param receiver hears the messages
	 * @param ended hears once that the link has ended
	 * @return the link
	 */
	public static Link accepted(TcpConnection tcp, BiConsumer<Link, LinkMessage> receiver, Consumer<Link> ended) {
		return new Link(tcp, receiver, ended);
	}

	/**
	 * Sends a message.
	 * @param message the message
	 */
	public void send(LinkMessage message) {
		send(encode(message));
	}

	/**
	 * Sends a message that was encoded before, for example for several links.
	 * @param message the message from {@link #encode}
	 */
	public void send(byte[] message) {
		if (this.over) {
			return;
		}
		if (this.tcp.queuedBytes() > MAX_QUEUED_BYTES) {
			close();
			return;
		}
		this.tcp.write(message);
	}

	/**
	 * Returns when the last bytes arrived.
	 * @return the monotonic time in nanoseconds
	 */
	public long heardNanos() {
		return this.heardNanos;
	}

	/**
	 * Returns how many bytes wait for the other side to take them.
	 * @return the number of bytes
	 */
	public long queuedBytes() {
		return this.tcp.queuedBytes();
	}

	/**
	 * Ends the link.
	 */
	public void close() {
		if (!this.over) {
			this.over = true;
			this.tcp.close();
			this.ended.accept(this);
		}
	}

	/**
	 * Returns whether the link has ended.
	 * @return whether it has ended
	 */
	public boolean over() {
		return this.over;
	}

	/**
	 * Sets what happens once the link is established.
	 * @param action the action
	 */
	public void onConnected(Runnable action) {
		this.whenConnected = action;
	}

	@Override
	public void connected() {
		this.heardNanos = System.nanoTime();
		this.whenConnected.run();
	}

	@Override
	public void received(ByteBuffer data) {
		this.heardNanos = System.nanoTime();
		reserve(data.remaining());
		this.input.put(data);
		this.input.flip();
		try {
			readMessages();
		}
		catch (CodecException ex) {
			close();
		}
		if (!this.over) {
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
		while (!this.over && this.input.remaining() >= LENGTH_BYTES) {
			int length = this.input.getInt(this.input.position());
			if (length < 0 || length > RecordCodec.DEFAULT_MAX_BYTES) {
				throw new CodecException("A message of " + length + " bytes is over the limit", null);
			}
			if (this.input.remaining() < LENGTH_BYTES + length) {
				return;
			}
			byte[] message = new byte[length];
			this.input.getInt();
			this.input.get(message);
			this.receiver.accept(this, CODEC.decode(message));
		}
	}

	private void reserve(int bytes) {
		if (this.input.remaining() < bytes) {
			ByteBuffer larger = ByteBuffer.allocate((this.input.position() + bytes) * 2);
			larger.put(this.input.flip());
			this.input = larger;
		}
	}

	/**
	 * Encodes a message for {@link #send(byte[])}.
	 * @param message the message
	 * @return its bytes with their length in front, which must not change afterwards
	 */
	public static byte[] encode(LinkMessage message) {
		try {
			byte[] payload = CODEC.encode(message);
			return ByteBuffer.allocate(LENGTH_BYTES + payload.length).putInt(payload.length).put(payload).array();
		}
		catch (CodecException ex) {
			throw new IllegalStateException("Can't encode " + message.getClass().getSimpleName(), ex);
		}
	}

}
