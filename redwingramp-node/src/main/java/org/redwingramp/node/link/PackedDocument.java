package org.redwingramp.node.link;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import org.redwingramp.node.api.InvalidDocumentException;

/**
 * Compresses configurations for the links to entry instances. Each instance receives each
 * configuration over a link that it shares with its callers. Stateless and thread safe.
 */
public final class PackedDocument {

	/** Twice the largest configuration that an operator can send. */
	static final int MAX_DOCUMENT_BYTES = 8 * 1024 * 1024;

	private static final byte[] GZIP_MAGIC = { 0x1f, (byte) 0x8b };

	private PackedDocument() {
	}

	/**
	 * Compresses a document.
	 * @param document the document
	 * @return the compressed document
	 */
	public static byte[] pack(byte[] document) {
		ByteArrayOutputStream packed = new ByteArrayOutputStream();
		try (GZIPOutputStream out = new GZIPOutputStream(packed)) {
			out.write(document);
		}
		catch (IOException ex) {
			throw new IllegalStateException("failed to compress a document in memory", ex);
		}
		return packed.toByteArray();
	}

	/**
	 * Restores a document. A document that isn't compressed, as leaders of earlier
	 * releases send it, is returned as it is.
	 * @param packed the received document
	 * @return the document
	 * @throws InvalidDocumentException if it is damaged or larger than any configuration
	 */
	public static byte[] unpack(byte[] packed) throws InvalidDocumentException {
		if (packed.length < GZIP_MAGIC.length || packed[0] != GZIP_MAGIC[0] || packed[1] != GZIP_MAGIC[1]) {
			return packed;
		}
		try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(packed))) {
			byte[] document = in.readNBytes(MAX_DOCUMENT_BYTES + 1);
			if (document.length > MAX_DOCUMENT_BYTES) {
				throw new InvalidDocumentException(
						"compressed configuration exceeds " + MAX_DOCUMENT_BYTES + " bytes when restored");
			}
			return document;
		}
		catch (IOException ex) {
			throw new InvalidDocumentException("compressed configuration is damaged: " + ex.getMessage(), ex);
		}
	}

}
