/** The controller: settings, wiring and main program. */
package org.cranberrybend.controller;
