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
 * Reads secrets that stand in the settings or in files of their own. No finding shows a
 * secret. Not thread safe; used by one parse.
 */
public final class SecretReader {

	private static final int MIN_TOKEN = 16;

	private static final int MIN_SHARED_KEY = 32;

	private static final int MAX_CHARACTERS = 512;

	private static final Pattern CHARACTERS = Pattern.compile("[!-~]+");

	/**
	 * The names of operators are shorter than any token, so that a token written in the
	 * place of a name is recognized and not shown.
	 */
	private static final Pattern OPERATOR = Pattern.compile("[a-z][a-z0-9-]{0,14}");

	private final Path folder;

	/** The place of each secret that was read, to refuse equal ones. */
	private final Map<String, Secret> seen = new LinkedHashMap<>();

	/**
	 * Creates a reader.
	 * @param folder the folder that relative paths start at
	 */
	public SecretReader(Path folder) {
		this.folder = folder;
	}

	/**
	 * Reads the key that authenticates the instances to each other.
	 * @param table the table {@code [internal]}
	 * @return the key, or empty after a finding
	 */
	Optional<Secret> sharedKey(TableReader table) {
		return secret(table, "shared_key", "shared_key_file", MIN_SHARED_KEY, true);
	}

	/**
	 * Reads {@code token} or {@code token_file}.
	 * @param table the table
	 * @param required whether its absence is a finding
	 * @return the token, or empty if there is none or after a finding
	 */
	Optional<Secret> token(TableReader table, boolean required) {
		return secret(table, "token", "token_file", MIN_TOKEN, required);
	}

	private Optional<Secret> secret(TableReader table, String name, String fileName, int minimum, boolean required) {
		boolean inline = table.has(name);
		boolean file = table.has(fileName);
		if (inline && file) {
			table.refuse(fileName, "found next to " + name + "; allowed is one of the two");
			return Optional.empty();
		}
		if (!inline && !file && required) {
			table.require(name, name + " or " + fileName);
		}
		return file ? fromFile(table, fileName, minimum)
				: table.hiddenText(name).flatMap((text) -> checked(table, name, text, minimum));
	}

	/**
	 * Reads the operators' tokens from {@code tokens} and {@code token_files}.
	 * @param table the table {@code [operators]}
	 * @return the valid tokens by operator
	 */
	Map<String, Secret> operatorTokens(TableReader table) {
		Map<String, Secret> tokens = new LinkedHashMap<>();
		if (!table.has("tokens") && !table.has("token_files")) {
			table.require("tokens", "tokens or token_files with at least one operator");
		}
		table.optionalTable("tokens")
			.ifPresent((names) -> names.names()
				.stream()
				.filter((name) -> checkOperator(table, "tokens", name))
				.forEach((name) -> names.hiddenText(name)
					.flatMap((text) -> checked(names, name, text, MIN_TOKEN))
					.ifPresent((token) -> tokens.put(name, token))));
		table.optionalTable("token_files")
			.ifPresent((names) -> names.names()
				.stream()
				.filter((name) -> checkOperator(table, "token_files", name))
				.forEach((name) -> fromFile(names, name, MIN_TOKEN).ifPresent((token) -> {
					if (tokens.putIfAbsent(name, token) != null) {
						names.refuse(name, "the operator has a token in operators.tokens already; allowed is one");
					}
				})));
		return tokens;
	}

	private static boolean checkOperator(TableReader table, String field, String name) {
		boolean valid = OPERATOR.matcher(name).matches();
		if (!valid) {
			table.refuse(field, "a name on the left of an equals sign isn't an operator's name; allowed are 1 to 15"
					+ " lower-case letters, digits and hyphens that start with a letter");
		}
		return valid;
	}

	private Optional<Secret> fromFile(TableReader table, String name, int minimum) {
		return table.optionalText(name, TextRule.FILE).flatMap((file) -> {
			try (InputStream content = Files.newInputStream(this.folder.resolve(file))) {
				byte[] bytes = content.readNBytes(MAX_CHARACTERS + 2);
				return checked(table, name, new String(bytes, StandardCharsets.UTF_8).strip(), minimum);
			}
			catch (IOException | InvalidPathException ex) {
				table.refuse(name, "the file can't be read (" + ex.getClass().getSimpleName()
						+ "); it must exist and be readable by the daemon's user");
				return Optional.empty();
			}
		});
	}

	private Optional<Secret> checked(TableReader table, String name, String text, int minimum) {
		if (text.length() < minimum || text.length() > MAX_CHARACTERS || !CHARACTERS.matcher(text).matches()) {
			table.refuse(name, "found a secret of " + text.length() + " characters; allowed are " + minimum + " to "
					+ MAX_CHARACTERS + " printable ASCII characters without spaces");
			return Optional.empty();
		}
		Secret secret = Secret.of(text);
		Optional<String> other = this.seen.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(secret))
			.map(Map.Entry::getKey)
			.findFirst();
		if (other.isPresent()) {
			table.refuse(name, "found the same secret as in " + other.get() + "; each secret must be different");
			return Optional.empty();
		}
		this.seen.put(table.path(name), secret);
		return Optional.of(secret);
	}

}
