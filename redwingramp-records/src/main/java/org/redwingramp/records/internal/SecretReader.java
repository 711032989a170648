package org.redwingramp.records.internal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import org.redwingramp.records.Secret;

/**
 * Reads secrets, either inline from the settings or from separate files. No finding
 * contains a secret. Not thread safe; use one instance per parse.
 */
public final class SecretReader {

	private static final int MIN_TOKEN_LENGTH = 16;

	private static final int MIN_SHARED_KEY_LENGTH = 32;

	private static final int MAX_SECRET_LENGTH = 512;

	private static final Pattern SECRET_CHARACTERS = Pattern.compile("[!-~]+");

	/**
	 * Operator names are shorter than any token, so that a token in place of a name is
	 * rejected and not shown.
	 */
	private static final Pattern OPERATOR_NAME = Pattern.compile("[a-z][a-z0-9-]{0,14}");

	private final Path folder;

	/** The secrets read so far by the path of their field, to detect duplicates. */
	private final Map<String, Secret> secretsByPath = new LinkedHashMap<>();

	/**
	 * Creates a reader.
	 * @param folder the folder against which relative paths are resolved
	 */
	public SecretReader(Path folder) {
		this.folder = folder;
	}

	/**
	 * Reads the key with which instances authenticate each other.
	 * @param table the table {@code [internal]}
	 * @return the key, or empty if it is missing or invalid
	 */
	Optional<Secret> sharedKey(TableReader table) {
		return secret(table, "shared_key", "shared_key_file", MIN_SHARED_KEY_LENGTH, true);
	}

	/**
	 * Reads {@code token} or {@code token_file}.
	 * @param table the table
	 * @param required whether to report a missing token
	 * @return the token, or empty if it is missing or invalid
	 */
	Optional<Secret> token(TableReader table, boolean required) {
		return secret(table, "token", "token_file", MIN_TOKEN_LENGTH, required);
	}

	private Optional<Secret> secret(TableReader table, String field, String fileField, int minLength,
			boolean required) {
		boolean inline = table.has(field);
		boolean file = table.has(fileField);
		if (inline && file) {
			table.addFinding(fileField, "set together with " + field + "; set only one of the two");
			return Optional.empty();
		}
		if (!inline && !file && required) {
			table.require(field, field + " or " + fileField);
		}
		return file ? readFile(table, fileField, minLength)
				: table.secretText(field).flatMap((text) -> validate(table, field, text, minLength));
	}

	/**
	 * Reads the operators' tokens from {@code tokens} and {@code token_files}.
	 * @param table the table {@code [operators]}
	 * @return the valid tokens by operator name
	 */
	Map<String, Secret> operatorTokens(TableReader table) {
		Map<String, Secret> tokens = new LinkedHashMap<>();
		if (!table.has("tokens") && !table.has("token_files")) {
			table.require("tokens", "tokens or token_files with at least one operator");
		}
		table.optionalTable("tokens")
			.ifPresent((tokenTable) -> tokenTable.fieldNames()
				.stream()
				.filter((name) -> checkOperatorName(table, "tokens", name))
				.forEach((name) -> tokenTable.secretText(name)
					.flatMap((text) -> validate(tokenTable, name, text, MIN_TOKEN_LENGTH))
					.ifPresent((token) -> tokens.put(name, token))));
		table.optionalTable("token_files")
			.ifPresent((tokenTable) -> tokenTable.fieldNames()
				.stream()
				.filter((name) -> checkOperatorName(table, "token_files", name))
				.forEach((name) -> readFile(tokenTable, name, MIN_TOKEN_LENGTH).ifPresent((token) -> {
					if (tokens.putIfAbsent(name, token) != null) {
						tokenTable.addFinding(name,
								"the operator already has a token in operators.tokens; each operator must have one token");
					}
				})));
		return tokens;
	}

	private static boolean checkOperatorName(TableReader table, String field, String name) {
		boolean valid = OPERATOR_NAME.matcher(name).matches();
		if (!valid) {
			table.addFinding(field,
					"invalid operator name (hidden, since it may be a secret); allowed: 1 to 15 lower-case letters,"
							+ " digits and hyphens that start with a letter");
		}
		return valid;
	}

	private Optional<Secret> readFile(TableReader table, String name, int minLength) {
		return table.optionalText(name, TextRule.FILE).flatMap((file) -> {
			try (InputStream content = Files.newInputStream(this.folder.resolve(file))) {
				byte[] bytes = content.readNBytes(MAX_SECRET_LENGTH + 2);
				return validate(table, name, new String(bytes, StandardCharsets.UTF_8).strip(), minLength);
			}
			catch (IOException | InvalidPathException ex) {
				table.addFinding(name, "the file cannot be read (" + ex.getClass().getSimpleName()
						+ "); it must exist and be readable by the daemon's user");
				return Optional.empty();
			}
		});
	}

	private Optional<Secret> validate(TableReader table, String name, String text, int minLength) {
		if (text.length() < minLength || text.length() > MAX_SECRET_LENGTH
				|| !SECRET_CHARACTERS.matcher(text).matches()) {
			table.addFinding(name, "found a secret of " + text.length() + " characters; allowed: " + minLength + " to "
					+ MAX_SECRET_LENGTH + " printable ASCII characters without spaces");
			return Optional.empty();
		}
		Secret secret = Secret.of(text);
		Optional<String> other = this.secretsByPath.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(secret))
			.map(Map.Entry::getKey)
			.findFirst();
		if (other.isPresent()) {
			table.addFinding(name, "found the same secret as in " + other.get() + "; all secrets must differ");
			return Optional.empty();
		}
		this.secretsByPath.put(table.path(name), secret);
		return Optional.of(secret);
	}

}
