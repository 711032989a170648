/**
 * Durable storage of a control replica: its write-ahead log, snapshots, term and vote.
 */
package org.redwingramp.storage;
