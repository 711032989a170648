/**
 * The subcommands, their output and the HTTP connection to the operators' interface.
 */
package org.redwingramp.cli.internal;
