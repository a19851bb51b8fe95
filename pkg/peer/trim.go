package peer

import "reflect"

// withoutEmptyFields returns a copy of a message whose type has only the fields that are set. Each frame carries the
// descriptions of all types that its message refers to, about 600 of the 780 bytes of an Exchange without records. gob
// matches fields by name and leaves missing ones at zero, so that every build decodes the copy like the original. The
// number of such types is bounded by the combinations of fields of the few types of messages.
func withoutEmptyFields(message any) any {
	v := reflect.Indirect(reflect.ValueOf(message))
	if v.Kind() != reflect.Struct {
		return message
	}
	var fields []reflect.StructField
	var values []reflect.Value
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.IsExported() && !isEmpty(v.Field(i)) {
			fields = append(fields, reflect.StructField{Name: f.Name, Type: f.Type})
			values = append(values, v.Field(i))
		}
	}
	trimmed := reflect.New(reflect.StructOf(fields)).Elem()
	for i, value := range values {
		trimmed.Field(i).Set(value)
	}
	return trimmed.Interface()
}

func isEmpty(v reflect.Value) bool {
	if v.Kind() == reflect.Slice {
		return v.Len() == 0
	}
	return v.IsZero()
}
