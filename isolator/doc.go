// Package isolator finds the parts of prompts under which targets crash. A request with
// such a part ends each target that begins to answer it, and the next request with the
// part ends the next target. No router sees enough of this alone, so routers exchange
// which parts were running where a target crashed, and which parts were answered.
//
// A part is suspected while it was running at crashes that nothing else explains and has
// not been answered completely since. Requests with a suspected part are run one at a
// time and apart from each other. A part that was running at enough of these crashes is
// blocked: no request with it is sent any more.
package isolator
