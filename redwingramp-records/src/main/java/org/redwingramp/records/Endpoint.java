package org.redwingramp.records;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address and a port. Host names are not accepted, since the platform has no name
 * service that routing could rely on. Immutable and thread safe.
 *
 * @param ip the IP address
 * @param port the port, from 1 to 65535
 */
public record Endpoint(InetAddress ip, int port) {

	/** Description of the text format, for error messages. */
	public static final String FORMAT = "ip:port with an IP address, for example 127.0.0.1:7301 or [::1]:7301";

	private static final int MAX_PORT = 65_535;

	private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";

	private static final Pattern ENDPOINT = Pattern
		.compile("(?<ip>(?:" + OCTET + "\\.){3}" + OCTET + "|\\[[0-9a-fA-F:.]{2,45}\\]):(?<port>[1-9][0-9]{0,4})");

	/**
	 * Parses an endpoint without resolving names.
	 * @param text the endpoint as {@code ip:port}
	 * @return the endpoint, or empty if the text does not have this format
	 */
	public static Optional<Endpoint> parse(String text) {
		Matcher matcher = ENDPOINT.matcher(text);
		if (!matcher.matches() || Integer.parseInt(matcher.group("port")) > MAX_PORT) {
			return Optional.empty();
		}
		try {
			// The pattern matches IP address literals only, so this call does no DNS
			// look-up.
			return Optional
				.of(new Endpoint(InetAddress.getByName(matcher.group("ip")), Integer.parseInt(matcher.group("port"))));
		}
		catch (UnknownHostException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Converts this endpoint to a JDK socket address.
	 * @return the socket address
	 */
	public InetSocketAddress socketAddress() {
		return new InetSocketAddress(this.ip, this.port);
	}

	/**
	 * Returns whether the IP address is the wildcard address, which stands for all local
	 * addresses of a host.
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
