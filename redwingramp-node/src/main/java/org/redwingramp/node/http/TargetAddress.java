package org.redwingramp.node.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the addresses that targets state of themselves. No name is looked up, since that
 * would block the event loop. Stateless and thread safe.
 */
public final class TargetAddress {

	private static final Pattern IPV4_AND_PORT = Pattern
		.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

	private static final int OCTETS = 4;

	private static final int MAX_OCTET = 255;

	private static final int MAX_PORT = 65_535;

	private static final byte[] BROADCAST = { -1, -1, -1, -1 };

	private TargetAddress() {
	}

	/**
	 * Parses an address.
	 * @param text the address, {@code ip:port} with an IPv4 address
	 * @return the address, or empty if no connection can be opened to it
	 */
	public static Optional<InetSocketAddress> parse(String text) {
		Matcher matcher = IPV4_AND_PORT.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		byte[] octets = new byte[OCTETS];
		for (int i = 0; i < OCTETS; i++) {
			int octet = Integer.parseInt(matcher.group(i + 1));
			if (octet > MAX_OCTET) {
				return Optional.empty();
			}
			octets[i] = (byte) octet;
		}
		int port = Integer.parseInt(matcher.group(OCTETS + 1));
		return (port > 0 && port <= MAX_PORT && octets[0] != 0) ? address(octets, port) : Optional.empty();
	}

	private static Optional<InetSocketAddress> address(byte[] octets, int port) {
		try {
			InetAddress host = InetAddress.getByAddress(octets);
			boolean oneHost = !host.isMulticastAddress() && !Arrays.equals(octets, BROADCAST);
			return oneHost ? Optional.of(new InetSocketAddress(host, port)) : Optional.empty();
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("an IPv4 address has " + octets.length + " bytes", ex);
		}
	}

}
