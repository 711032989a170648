package org.redwingramp.core.support;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;

/**
 * Ports for the listeners of one test, the same ones on each loopback address. A test
 * binds and releases them as it needs. Invariants until it is closed or the process ends:
 * nobody else who reserves ports, in this process or another, gets one of these; and the
 * operating system gives none of them to a socket that is bound to any free port.
 * Immutable and thread safe.
 */
public final class ReservedPorts implements AutoCloseable {

	/** The number of reserved ports. */
	public static final int COUNT = 3;

	/** The first port of a block is bound for as long as the block is reserved. */
	private static final int BLOCK_PORTS = COUNT + 1;

	/**
	 * Below the ports that the operating system gives to sockets, and below those of the
	 * process soak.
	 */
	private static final int FIRST_PORT = 10_000;

	private static final int BLOCKS = 1500;

	private static final int MAX_ATTEMPTS = 500;

	/** An address on which nothing else listens. */
	private static final String LOCK_ADDRESS = "127.0.0.31";

	private final ServerSocket lock;

	private ReservedPorts(ServerSocket lock) {
		this.lock = lock;
	}

	/**
	 * Reserves ports on which nothing listens.
	 * @return the ports
	 * @throws IOException if no free ports are found
	 */
	public static ReservedPorts reserve() throws IOException {
		for (int i = 0; i < MAX_ATTEMPTS; i++) {
			int block = FIRST_PORT + BLOCK_PORTS * ThreadLocalRandom.current().nextInt(BLOCKS);
			try {
				ReservedPorts ports = new ReservedPorts(
						new ServerSocket(block, 1, InetAddress.getByName(LOCK_ADDRESS)));
				if (IntStream.range(0, COUNT).allMatch((index) -> unused(ports.port(index)))) {
					return ports;
				}
				ports.close();
			}
			catch (BindException ex) {
				// Another test has reserved this block.
			}
		}
		throw new IOException("no " + COUNT + " free ports between " + FIRST_PORT + " and "
				+ (FIRST_PORT + BLOCKS * BLOCK_PORTS - 1) + " in " + MAX_ATTEMPTS + " attempts; end other tests");
	}

	/**
	 * Returns one of the ports.
	 * @param index its index, from 0 to {@link #COUNT} - 1
	 * @return the port
	 */
	public int port(int index) {
		if (index < 0 || index >= COUNT) {
			throw new IndexOutOfBoundsException("there are " + COUNT + " reserved ports, none with index " + index);
		}
		return this.lock.getLocalPort() + 1 + index;
	}

	/**
	 * Returns the address of one of the ports on the loopback interface.
	 * @param index the index of the port
	 * @return the address
	 */
	public InetSocketAddress address(int index) {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), port(index));
	}

	@Override
	public void close() throws IOException {
		this.lock.close();
	}

	// Returns whether the port is free on all addresses.
	private static boolean unused(int port) {
		try (ServerSocket socket = new ServerSocket(port)) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
