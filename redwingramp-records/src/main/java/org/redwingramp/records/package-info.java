/**
 * Parses and validates the TOML files of operators' records and of the daemon's settings.
 */
package org.redwingramp.records;
