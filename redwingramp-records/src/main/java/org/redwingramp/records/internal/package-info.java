/**
 * Reads TOML tables, collects findings, and converts records of each schema version and
 * settings to the types of the model.
 */
package org.redwingramp.records.internal;
