/**
 * Parses and checks TOML records and settings.
 */
package org.redwingramp.records;
