package org.redwingramp.cli.internal;

import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.redwingramp.cli.ExitCode;

/**
 * Validates record or settings files without contacting an instance. Stateless and thread
 * safe.
 */
final class ValidateCommand {

	private ValidateCommand() {
	}

	static ExitCode run(CommandContext context) {
		boolean settings = context.invocation().hasOption(CommandOptions.SETTINGS);
		List<RecordFile> files = context.invocation()
			.arguments()
			.stream()
			.map((name) -> settings ? RecordFile.readSettings(name) : RecordFile.readRecord(name))
			.toList();
		files.forEach((file) -> printResult(file, context.output()));
		return files.stream().allMatch(RecordFile::valid) ? ExitCode.OK : ExitCode.FINDINGS;
	}

	private static void printResult(RecordFile file, Output output) {
		if (output.json()) {
			ObjectNode node = output.newObject().put("file", file.name()).put("valid", file.valid());
			file.record()
				.ifPresent((record) -> node.put("kind", record.kind().label())
					.put("name", record.name())
					.put("version", record.version())
					.put("schema", record.schema())
					.put("digest", record.digest()));
			node.set("findings", output.toJson(file.findings()));
			output.printObject(node);
		}
		else if (file.valid()) {
			output.printLine(file.name() + ": valid: " + file.label()
					+ file.record().map((record) -> ", schema " + record.schema()).orElse(""));
		}
		else {
			output.printFindings(file.findings());
		}
	}

}
