package org.redwingramp.cli.internal;

import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.redwingramp.cli.ExitCode;

/**
 * Checks files without talking to an instance. Stateless and thread safe.
 */
final class ValidateCommand {

	private ValidateCommand() {
	}

	static ExitCode run(Session session) {
		boolean settings = session.invocation().has(CommandOptions.SETTINGS);
		List<RecordFile> files = session.invocation()
			.arguments()
			.stream()
			.map((name) -> settings ? RecordFile.readSettings(name) : RecordFile.readRecord(name))
			.toList();
		files.forEach((file) -> print(file, session.output()));
		return files.stream().allMatch(RecordFile::valid) ? ExitCode.OK : ExitCode.FINDINGS;
	}

	private static void print(RecordFile file, Output output) {
		if (output.json()) {
			ObjectNode node = output.object().put("file", file.name()).put("valid", file.valid());
			file.record()
				.ifPresent((record) -> node.put("kind", record.kind().label())
					.put("name", record.name())
					.put("version", record.version())
					.put("schema", record.schema())
					.put("digest", record.digest()));
			node.set("findings", output.tree(file.findings()));
			output.object(node);
		}
		else if (file.valid()) {
			output.line(file.name() + ": valid: " + file.label()
					+ file.record().map((record) -> ", schema " + record.schema()).orElse(""));
		}
		else {
			output.findings(file.findings());
		}
	}

}
