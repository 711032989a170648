package org.redwingramp.node.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Writes the heads of messages. Stateless and thread safe.
 */
final class MessageText {

	private static final int HEAD_RESERVE = 512;

	private MessageText() {
	}

	static byte[] request(HttpRequest request) {
		StringBuilder head = new StringBuilder(HEAD_RESERVE).append(request.method())
			.append(' ')
			.append(request.target())
			.append(" HTTP/1.1\r\n");
		fields(head, request.headers());
		boolean bodyExpected = !request.method().equals("GET") && !request.method().equals("HEAD");
		if (request.body().length > 0 || bodyExpected) {
			head.append("Content-Length: ").append(request.body().length).append("\r\n");
		}
		return join(head, request.body());
	}

	static byte[] response(HttpResponse response, boolean close, boolean head) {
		StringBuilder text = new StringBuilder(HEAD_RESERVE).append("HTTP/1.1 ")
			.append(response.status())
			.append(' ')
			.append(reason(response.status()))
			.append("\r\n");
		fields(text, response.headers());
		if (response.status() != 204 && response.status() != 304) {
			text.append("Content-Length: ").append(response.body().length).append("\r\n");
		}
		if (close) {
			text.append("Connection: close\r\n");
		}
		return join(text, head ? new byte[0] : response.body());
	}

	private static void fields(StringBuilder text, List<Header> headers) {
		headers.forEach((header) -> text.append(header.name()).append(": ").append(header.value()).append("\r\n"));
	}

	private static byte[] join(StringBuilder head, byte[] body) {
		byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = new byte[start.length + body.length];
		System.arraycopy(start, 0, all, 0, start.length);
		System.arraycopy(body, 0, all, start.length, body.length);
		return all;
	}

	private static String reason(int status) {
		return switch (status) {
			case 200 -> "OK";
			case 307 -> "Temporary Redirect";
			case 400 -> "Bad Request";
			case 404 -> "Not Found";
			case 412 -> "Precondition Failed";
			case 413 -> "Content Too Large";
			case 431 -> "Request Header Fields Too Large";
			case 502 -> "Bad Gateway";
			case 503 -> "Service Unavailable";
			case 504 -> "Gateway Timeout";
			default -> "Status";
		};
	}

}
