package org.redwingramp.records;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address with a port. Immutable and thread safe. Names are never resolved, since
 * the platform has no name service that routing could rely on.
 *
 * @param ip the IP address
 * @param port the port, from 1 to 65535
 */
public record Endpoint(InetAddress ip, int port) {

	/** Describes the form, for messages. */
	public static final String FORM = "ip:port with an IP address, for example 127.0.0.1:7301 or [::1]:7301";

	private static final int MAX_PORT = 65_535;

	private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";

	private static final Pattern PATTERN = Pattern
		.compile("(?<ip>(?:" + OCTET + "\\.){3}" + OCTET + "|\\[[0-9a-fA-F:.]{2,45}\\]):(?<port>[1-9][0-9]{0,4})");

	/**
	 * Parses an address.
	 * @param text the address as {@code ip:port}
	 * @return the address, or empty if the text has another form
	 */
	public static Optional<Endpoint> parse(String text) {
		Matcher matcher = PATTERN.matcher(text);
		if (!matcher.matches() || Integer.parseInt(matcher.group("port")) > MAX_PORT) {
			return Optional.empty();
		}
		try {
			// The pattern admits literals only, so this call resolves no name.
			return Optional
				.of(new Endpoint(InetAddress.getByName(matcher.group("ip")), Integer.parseInt(matcher.group("port"))));
		}
		catch (UnknownHostException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns the address for the JDK's sockets.
	 * @return the socket address
	 */
	public InetSocketAddress socketAddress() {
		return new InetSocketAddress(this.ip, this.port);
	}

	/**
	 * Returns whether the address stands for all addresses of the instance.
	 * @return {@code true} for 0.0.0.0 and [::]
	 */
	public boolean wildcard() {
		return this.ip.isAnyLocalAddress();
	}

	@Override
	public String toString() {
		String host = this.ip.getHostAddress();
		return (host.contains(":") ? "[" + host + "]" : host) + ":" + this.port;
	}

}
