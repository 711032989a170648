/**
 * Reads TOML tables, collects findings and maps schema versions to the internal types.
 */
package org.redwingramp.records.internal;
