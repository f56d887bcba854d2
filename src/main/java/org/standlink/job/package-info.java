/**
 * The model of jobs that callers submit: a job has steps, a step has tasks, a task has runs.
 *
 * <p>Jobs of a bundle are in {@code org.standlink.bundle}; they are written by operators, not
 * submitted.
 */
package org.standlink.job;
