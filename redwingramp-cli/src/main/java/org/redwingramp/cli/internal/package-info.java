/**
 * The subcommands, their output and the HTTP client of the operator API.
 */
package org.redwingramp.cli.internal;
