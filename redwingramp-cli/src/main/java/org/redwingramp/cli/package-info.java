/**
 * The operators' command-line tool {@code redwingramp}.
 */
package org.redwingramp.cli;
