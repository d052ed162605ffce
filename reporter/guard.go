package reporter

import "go.uber.org/zap"

// Guard runs one step of a part that goes on whatever happens. A panic of the step
// is logged with its stack, so that one message or an unexpected error does not end
// the process; ok tells that there was none.
func Guard(log *zap.Logger, step string, run func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			log.Error("step failed unexpectedly", zap.String("step", step), zap.Any("cause", cause), zap.Stack("stack"))
		}
	}()
	run()
	return true
}
